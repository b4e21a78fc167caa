package settings

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

var yamlLine = regexp.MustCompile(`line (\d+): `)

// parser collects the settings and the faults of one file.
type parser struct {
	file     string
	settings *Settings
	keys     map[string]Key
	lines    map[string]int  // line of each section and key that is present
	invalid  map[string]bool // keys whose value was refused
	faults   []Fault
	broken   bool // the file is not YAML, so that further checks would mislead
}

func (p *parser) fault(line int, key, allowed, format string, args ...any) {
	p.faults = append(p.faults, Fault{File: p.file, Line: line, Key: key, Allowed: allowed, Message: fmt.Sprintf(format, args...)})
}

func (p *parser) parse(data []byte) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var document yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return // an empty file lacks only the required keys
	}
	if err != nil {
		p.syntaxFault(err)
		return
	}
	var second yaml.Node
	if err := decoder.Decode(&second); err == nil {
		p.fault(second.Line, "", "", "the file holds more than one YAML document")
	} else if !errors.Is(err, io.EOF) {
		p.syntaxFault(err)
		return
	}
	p.parseRoot(document.Content[0])
}

func (p *parser) syntaxFault(err error) {
	p.broken = true
	line := 0
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	if m := yamlLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = strings.Replace(text, m[0], "", 1)
	}
	p.fault(line, "", "", "not valid YAML: %s", text)
}

func (p *parser) parseRoot(root *yaml.Node) {
	sections := p.sections()
	p.eachEntry("", root, "a mapping of sections: "+strings.Join(sections, ", "), func(name string, key, value *yaml.Node) {
		if !slices.Contains(sections, name) {
			p.fault(key.Line, name, strings.Join(sections, ", "), "unknown section")
			return
		}
		p.lines[name] = key.Line
		p.parseSection(name, value)
	})
}

func (p *parser) parseSection(section string, node *yaml.Node) {
	names := p.sectionKeys(section)
	p.eachEntry(section, node, "a mapping of keys: "+strings.Join(names, ", "), func(name string, key, value *yaml.Node) {
		full := section + "." + name
		k, ok := p.keys[full]
		if !ok {
			p.fault(key.Line, full, strings.Join(names, ", "), "unknown key")
			return
		}
		p.lines[full] = key.Line
		p.parseValue(k, value)
	})
}

// eachEntry calls fn for each entry of a mapping. A section without a value is
// an empty mapping.
func (p *parser) eachEntry(path string, node *yaml.Node, allowed string, fn func(name string, key, value *yaml.Node)) {
	if node.Kind == yaml.ScalarNode && node.Tag == "!!null" {
		return
	}
	if node.Kind != yaml.MappingNode {
		p.fault(node.Line, path, allowed, "not a mapping")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if key.Kind != yaml.ScalarNode {
			p.fault(key.Line, path, allowed, "a key must be a plain word")
			continue
		}
		if seen[key.Value] {
			p.fault(key.Line, strings.TrimPrefix(path+"."+key.Value, "."), "", "the key is set twice")
			continue
		}
		seen[key.Value] = true
		fn(key.Value, key, value)
	}
}

func (p *parser) parseValue(k Key, node *yaml.Node) {
	nodes := []*yaml.Node{node}
	if k.list {
		if node.Kind != yaml.SequenceNode {
			p.refuse(k, node.Line, "not a list")
			return
		}
		nodes = node.Content
	}
	for _, n := range nodes {
		if n.Kind != yaml.ScalarNode || n.Tag == "!!null" || n.Value == "" {
			p.refuse(k, n.Line, "not a single value")
			continue
		}
		if err := k.set(p.settings, n.Value); err != nil {
			p.refuse(k, n.Line, err.Error())
		}
	}
}

func (p *parser) refuse(k Key, line int, message string) {
	p.invalid[k.Name] = true
	p.fault(line, k.Name, k.Allowed, "%s", message)
}

// fillDefaults sets the keys that the file leaves out.
func (p *parser) fillDefaults() {
	for _, k := range Table() {
		if p.lines[k.Name] > 0 {
			continue
		}
		if k.Required {
			p.fault(p.lineOf(k), k.Name, k.Allowed, "required key is missing")
			p.invalid[k.Name] = true
		} else if k.Default != "" {
			if err := k.set(p.settings, k.Default); err != nil {
				p.refuse(k, 0, "default: "+err.Error())
			}
		}
	}
	if p.settings.VM.Advertise == "" && !p.invalid["vm.advertise"] {
		p.settings.VM.Advertise = p.settings.VM.PeerListen
	}
}

// lineOf returns the line of a key, or the place where it would stand.
func (p *parser) lineOf(k Key) int {
	if line := p.lines[k.Name]; line > 0 {
		return line
	}
	return max(1, p.lines[k.section()])
}

func (p *parser) sections() []string {
	set := map[string]bool{}
	for _, k := range p.keys {
		set[k.section()] = true
	}
	return slices.Sorted(maps.Keys(set))
}

func (p *parser) sectionKeys(section string) []string {
	var names []string
	for _, k := range p.keys {
		if k.section() == section {
			names = append(names, strings.TrimPrefix(k.Name, section+"."))
		}
	}
	slices.Sort(names)
	return names
}
