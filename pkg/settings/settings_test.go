package settings

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.yaml.in/yaml/v3"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

var update = flag.Bool("update", false, "write the reference page anew")

const referencePage = "../../docs/settings.md"

// Guards against faults that are missed, reported one at a time, or reported
// without line, key and allowed values.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, d *datadriven.TestData) string {
		input := d.Input
		if d.HasArg("complete") {
			input = complete + input
		}
		s, faults := Parse("s.yaml", []byte(input))
		if (s == nil) == (len(faults) == 0) {
			t.Errorf("settings %v with faults %v", s, faults)
		}
		var b strings.Builder
		for _, f := range faults {
			fmt.Fprintln(&b, f)
		}
		if len(faults) == 0 {
			return "ok\n"
		}
		return b.String()
	})
}

// complete holds the required keys, on 7 lines.
const complete = `vm: {id: vm1, failure_domain: fiji/a,
  listen: 127.0.0.1:0,
  peer_listen: 127.0.0.1:0}
platform:
  url: http://127.0.0.1:9000/
peers:
  token: 0123456789abcdef
`

// Guards against defaults that differ from the table and values that are
// parsed with the wrong unit.
func TestValues(t *testing.T) {
	s, faults := Parse("s.yaml", []byte(complete+"  seeds: [127.0.0.1:1, '[::1]:2']\njobs: {max_body: 64KiB, max_wait: 1m30s}\n"))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if s.VM.Advertise != s.VM.PeerListen || s.Platform.URL != "http://127.0.0.1:9000" || len(s.Peers.Seeds) != 2 {
		t.Errorf("addresses: %+v %+v %+v", s.VM, s.Platform, s.Peers)
	}
	if s.Jobs != (Jobs{ResultRetention: 24 * time.Hour, ResultMax: 256 << 10, MaxBody: 64 << 10, MaxWait: 90 * time.Second}) {
		t.Errorf("jobs: %+v", s.Jobs)
	}
	if s.Cluster != (Cluster{Partitions: 16, MaxVMs: 9, HeartbeatInterval: 500 * time.Millisecond, Fanout: 3}) {
		t.Errorf("cluster: %+v", s.Cluster)
	}
	if s.Log != (Log{Level: "info", Format: "json"}) || s.Drain.Timeout != 30*time.Second || s.Targets.ConnectionsPerVM != 7 {
		t.Errorf("%+v %+v %+v", s.Log, s.Drain, s.Targets)
	}
}

// Guards against a secret in log lines, JSON, YAML or formatted output.
func TestSecretsAreRedacted(t *testing.T) {
	s, faults := Parse("s.yaml", []byte(complete))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	asJSON, _ := json.Marshal(s)
	asYAML, _ := yaml.Marshal(s)
	var all strings.Builder
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		fmt.Fprintf(&all, verb, s.Peers)
		fmt.Fprintf(&all, verb, s.Peers.Token)
	}
	out := all.String() + string(asJSON) + string(asYAML)
	if strings.Contains(out, "0123456789abcdef") || strings.Contains(out, "30313233") || !strings.Contains(out, redacted) {
		t.Errorf("output: %s", out)
	}
	if s.Peers.Token.Reveal() != "0123456789abcdef" {
		t.Error("the secret itself is lost")
	}
}

// Guards against a file that cannot be read, or is too large, passing as empty
// settings, and against an error without kind.
func TestLoad(t *testing.T) {
	for _, path := range []string{"testdata/absent.yaml", "testdata", "/dev/zero"} {
		s, faults := Load(path)
		if s != nil || len(faults) != 1 || !errkind.Is(AsError(faults), errkind.InvalidConfig) {
			t.Errorf("%s: %v, %v", path, s, faults)
		}
	}
}

// Guards against a reference page that differs from the table of keys.
func TestReference(t *testing.T) {
	if *update {
		if err := os.WriteFile(referencePage, []byte(Reference()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile(referencePage)
	if err != nil || string(page) != Reference() {
		t.Errorf("%s is outdated (%v); run this test with -update", referencePage, err)
	}
	for _, k := range Table() {
		if k.Help == "" || k.Allowed == "" || k.Type == "" || (k.Required && k.Default != "") {
			t.Errorf("%s: incomplete row %+v", k.Name, k)
		}
	}
}

// Guards against input that makes the parser panic or accept and refuse at once.
func FuzzParse(f *testing.F) {
	f.Add([]byte(complete))
	f.Add([]byte("vm: &a {id: *a}\n---\n? [x]: y\n"))
	f.Add([]byte("peers: {seeds: [1, {}, null]}\ncluster: {max_vms: 1e9}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, faults := Parse("fuzz", data)
		if (s == nil) == (len(faults) == 0) {
			t.Errorf("settings %v with faults %v", s, faults)
		}
	})
}
