package cluster

import (
	"context"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// Binaries are the paths of the programs that a cluster runs.
type Binaries struct {
	Daemon  string
	Standin string
}

// Build compiles the programs into dir. It must run inside the module.
func Build(ctx context.Context, dir string, flags ...string) (Binaries, error) {
	const module = "github.com/carawayusher/carawayusher/cmd/"
	args := append([]string{"build", "-o", dir + string(filepath.Separator)}, flags...)
	args = append(args, module+"carawayusherd", module+"standin")
	if out, err := exec.CommandContext(ctx, "go", args...).CombinedOutput(); err != nil {
		return Binaries{}, errors.Wrapf(err, "build of the programs: %s", out)
	}
	return Binaries{Daemon: filepath.Join(dir, "carawayusherd"), Standin: filepath.Join(dir, "standin")}, nil
}
