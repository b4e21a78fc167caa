package settings

import (
	"io"
	"os"
	"slices"
)

// maxFileBytes bounds a settings file and a token file.
const maxFileBytes = 1 << 20

// Load reads and checks the settings file at path. It returns either settings
// or every fault of the file, ordered by line.
func Load(path string) (*Settings, []Fault) {
	data, err := readFile(path)
	if err != nil {
		return nil, []Fault{{File: path, Message: err.Error()}}
	}
	return Parse(path, data)
}

// Parse checks settings that were read already; name stands for the file in
// faults. It reads the files that the settings name only as far as the checks
// need them.
func Parse(name string, data []byte) (*Settings, []Fault) {
	if len(data) > maxFileBytes {
		return nil, []Fault{{File: name, Message: "the file is larger than 1MiB"}}
	}
	p := &parser{file: name, settings: &Settings{}, keys: map[string]Key{}, lines: map[string]int{}, invalid: map[string]bool{}}
	for _, k := range Table() {
		p.keys[k.Name] = k
	}
	p.parse(data)
	if !p.broken {
		p.fillDefaults()
		p.checkTogether()
	}
	if len(p.faults) > 0 {
		slices.SortStableFunc(p.faults, func(a, b Fault) int { return a.Line - b.Line })
		return nil, p.faults
	}
	return p.settings, nil
}

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxFileBytes+1))
}
