package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

var start = time.Date(2026, 1, 2, 22, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func stamp(d time.Duration) timeline.Timestamp { return timeline.Timestamp{Wall: at(d).UnixNano()} }

// generated returns four hours of two workspaces on eight workers.
func generated() *Data {
	rng := rand.New(rand.NewSource(7))
	d := &Data{Config: policy.Default()}
	d.Config.Workspaces["postbud"] = policy.Workspace{Guarantees: []policy.Guarantee{{Cells: 3, Accelerators: 8}}}
	d.Config.Workspaces["lautoka"] = policy.Workspace{Guarantees: []policy.Guarantee{{Cells: 2, Accelerators: 8}}}
	for i := range 400 {
		j := api.JobStatus{ID: api.JobID(fmt.Sprintf("j%d-%04d", i%16, i)), State: api.StateSucceeded}
		j.Spec.Workspace = []string{"postbud", "lautoka"}[i%2]
		j.Spec.Class = []string{"urgent", "long", "short", "long", "archive"}[i%5]
		j.SubmittedAt = at(time.Duration(rng.Intn(230)) * time.Minute)
		j.StartedAt = j.SubmittedAt.Add(time.Duration(rng.ExpFloat64() * float64(2*time.Second)))
		run := time.Duration(rng.ExpFloat64() * float64(20*time.Second))
		if j.Spec.Class == "long" {
			run = time.Duration((0.2 + rng.ExpFloat64()) * float64(25*time.Minute))
		}
		j.EndedAt = j.StartedAt.Add(run)
		j.Allocations = []api.Allocation{{Worker: fmt.Sprintf("worker-%d", rng.Intn(8)+1)}}
		d.Jobs = append(d.Jobs, j)
	}
	for m := 0; m <= 240; m += 2 {
		wave := math.Sin(float64(m) / 40)
		sum := sched.Summary{Domain: "region/a", Accelerators: 64, UsedByWorkspace: map[string]int{"postbud": int(24 + 10*wave), "lautoka": int(18 - 12*wave)}}
		sum.Free = sched.FreeCapacity{Domain: 22, Rack: int(14 + 6*wave)}
		other := sched.Summary{Domain: "region/b", UsedByWorkspace: map[string]int{"postbud": 4}, Free: sched.FreeCapacity{Domain: 10, Rack: 9 - m/60}}
		d.Samples = append(d.Samples, Sample{At: at(time.Duration(m) * time.Minute), Domains: []sched.Summary{sum, other}})
	}
	d.Gaps = []timeline.Gap{{VM: "vm-2", From: 3, To: 9}}
	return d
}

// Guards against a measure that is computed from the wrong moments: expected
// figures are worked out by hand.
func TestMeasures(t *testing.T) {
	d := &Data{
		Config: policy.Default(),
		Jobs: []api.JobStatus{
			{ID: "a", State: api.StateSucceeded, Spec: api.JobSpec{Workspace: "p", Class: "urgent"}, SubmittedAt: at(0), StartedAt: at(2 * time.Second), EndedAt: at(4 * time.Second)},
			{ID: "b", State: api.StateSucceeded, Spec: api.JobSpec{Workspace: "p", Class: "urgent"}, SubmittedAt: at(0), StartedAt: at(7 * time.Second), EndedAt: at(10 * time.Second)},
			{ID: "c", State: api.StateFailed, Spec: api.JobSpec{Workspace: "p", Class: "long"}, SubmittedAt: at(0), StartedAt: at(time.Minute), EndedAt: at(time.Hour)},
			{ID: "d", State: api.StateQueued, Spec: api.JobSpec{Workspace: "p", Class: "short"}, SubmittedAt: at(0)},
		},
		// The first start of a job that was preempted counts, not the last.
		Events: []timeline.Event{
			{At: stamp(time.Second), Type: timeline.Started, Job: "a", Worker: "w1", Workspace: "p"},
			{At: stamp(1500 * time.Millisecond), Type: timeline.Preempted, Job: "a", Worker: "w1"},
		},
		Samples: []Sample{
			{At: at(0), Domains: []sched.Summary{{Domain: "r/a", Free: sched.FreeCapacity{Domain: 8, Rack: 8}, UsedByWorkspace: map[string]int{"p": 4}}}},
			{At: at(time.Minute), Domains: []sched.Summary{{Domain: "r/a", Free: sched.FreeCapacity{Domain: 8, Rack: 2}, UsedByWorkspace: map[string]int{"q": 3}}}},
			{At: at(2 * time.Minute), Domains: []sched.Summary{{Domain: "r/a"}}},
		},
	}
	d.Config.Workspaces["idle"] = policy.Workspace{Guarantees: []policy.Guarantee{{Cells: 1, Accelerators: 8}}}
	r := Build(d, start)
	want := []Row{
		{"Completion time", "p50 4s, p99 10s", "2 jobs, from submission to successful end"},
		{"Wait of short work", "p50 1s, p99 7s", "2 jobs, from submission to first start"},
		{"Started within the bound", "50.00%", "1 of 2 jobs whose class has a bound"},
		{"Fragmentation", "mean 0.38", "1 - largest placeable gang / free accelerators"},
		{"Jobs", "4", "1 failed, 1 queued, 2 succeeded"},
	}
	if diff := cmp.Diff(want, r.Summary); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]Use{{Workspace: "idle", Guaranteed: 8}, {Workspace: "p", Mean: 4.0 / 3, Peak: 4}, {Workspace: "q", Mean: 1, Peak: 3}}, r.Uses); diff != "" {
		t.Error(diff)
	}
	if len(r.Lanes) != 1 || len(r.Lanes[0].Segments) != 1 || r.Lanes[0].Segments[0].Outcome != "preempted" {
		t.Errorf("lanes = %+v", r.Lanes)
	}
}

// Guards against tasks that cover one another in a lane, and against a page
// that grows without bound.
func TestLanes(t *testing.T) {
	d := &Data{}
	for w := range 70 {
		for i := range 80 {
			begin := time.Duration(i) * time.Minute
			id, worker := api.JobID(fmt.Sprint(w, "-", i)), fmt.Sprintf("w%02d", w)
			d.Events = append(d.Events,
				timeline.Event{At: stamp(begin), Type: timeline.Started, Job: id, Worker: worker},
				timeline.Event{At: stamp(begin + 90*time.Second), Type: timeline.Ended, Job: id})
		}
	}
	r := Build(d, start)
	total := 0
	for _, l := range r.Lanes {
		total += len(l.Segments)
		for i := range l.Segments {
			for j := range i {
				a, b := l.Segments[j], l.Segments[i]
				if a.row == b.row && a.End.After(b.Start) {
					t.Fatalf("%s and %s overlap on %s", a.Job, b.Job, l.Worker)
				}
			}
		}
	}
	if len(r.Lanes) != maxLanes || total != maxSegments || len(r.Notes) == 0 {
		t.Errorf("%d lanes, %d segments, notes %v", len(r.Lanes), total, r.Notes)
	}
}

// Guards against a saved time line that does not come back whole, and against
// a fault in it that is not named.
func TestSaveAndLoad(t *testing.T) {
	d := generated()
	d.Events = []timeline.Event{{At: stamp(0), VM: "vm-1", Seq: 1, Type: timeline.Started, Job: "x"}}
	var saved bytes.Buffer
	if err := Save(&saved, d); err != nil {
		t.Fatal(err)
	}
	back, err := Load(&saved)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(d, back); diff != "" {
		t.Error(diff)
	}
	bare, err := json.Marshal(d.Events[0])
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Load(bytes.NewReader(bare)); err != nil || !cmp.Equal(got.Events, d.Events) {
		t.Errorf("bare event: %+v, %v", got, err)
	}
	for name, text := range map[string]string{"syntax": "\n{", "unknown": "\n{\"x\":1}"} {
		if _, err := Load(strings.NewReader(text)); !errkind.Is(err, errkind.InvalidRequest) || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a page that depends on other files or executes a job's name,
// and against charts without a file. With REPORT_OUT set the files are kept
// there, to be looked at.
func TestPageAndCharts(t *testing.T) {
	dir := os.Getenv("REPORT_OUT")
	if dir == "" {
		dir = t.TempDir()
	}
	d := generated()
	d.Jobs[0].ID = `j0-"><script>alert(1)</script>`
	d.Jobs[0].Allocations[0].Worker = "<b>w</b>"
	r := Build(d, start)
	var page bytes.Buffer
	if err := WriteHTML(&page, r); err != nil {
		t.Fatal(err)
	}
	for _, forbidden := range []string{"<script", "<b>w", "http://", "https://", "src=", "NaN", "%!"} {
		if strings.Contains(page.String(), forbidden) {
			t.Errorf("the page contains %q", forbidden)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "report.html"), page.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	files, err := WritePNGs(filepath.Join(dir, "report"), r)
	if err != nil || len(files) != 5 {
		t.Errorf("files = %v, %v", files, err)
	}
	if page.Reset(); WriteHTML(&page, Build(&Data{}, start)) != nil || !strings.Contains(page.String(), "The data is empty") {
		t.Error("empty data gives no page")
	}
}
