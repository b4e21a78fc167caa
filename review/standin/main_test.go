//go:build review

// Package standin runs one case of the review: it starts the program of the deploy file as
// separate processes against a stand-in of the platform (store, machine list and workers),
// acts as the clients, and checks one rule. review/build.sh builds it as a test binary, so
// that its files count as tests; its arguments are a scenario and a folder. It exits with 1
// if the rule was broken, 0 if it held and 2 if the case could not run.
package standin

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// maxDuration bounds a run; the cases take less than half of it.
const maxDuration = 110 * time.Second

// scenario is one case. It returns the violations of the rule that it checks.
type scenario func(e *env, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"ends":     manyEnds,
	"kind":     otherKind,
	"waiting":  waitingCount,
	"dropped":  droppedQueue,
	"renamed":  renamedQueue,
	"wave":     secondWave,
	"odd":      oddJobs,
	"interval": fractionalInterval,
	"soak":     soak,
}

// TestMain takes the place of main.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	e := &env{record: record, dir: dir, startedAt: time.Now()}
	defer e.close()
	abandon := func(reason string) {
		e.note("RESULT could not run: %s", reason)
		e.close()
		os.RemoveAll(dir)
		os.Exit(2)
	}
	time.AfterFunc(maxDuration, func() { abandon("it took longer than " + maxDuration.String()) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { abandon("ended by signal " + (<-signals).String()) }()
	e.note("scenario %s, trouble %v", name, trouble)
	broken, err := scenarios[name](e, trouble)
	if err != nil {
		e.note("RESULT could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	if n := e.unexpectedEnds(); n > 0 {
		e.note("RESULT could not run: %d processes ended by themselves", n)
		fmt.Println("processes ended by themselves:", n)
		return 2
	}
	if len(broken) > 0 {
		for _, b := range broken {
			e.note("BROKEN %s", b)
		}
		e.note("RESULT broken: %d violations", len(broken))
		fmt.Printf("broken: %d violations; the first: %s\n", len(broken), broken[0])
		return 1
	}
	e.note("RESULT held")
	fmt.Println("held")
	return 0
}
