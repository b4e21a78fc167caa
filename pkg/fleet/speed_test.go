package fleet_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// loadKind is a kind of jobs of one step that arrive at random.
type loadKind struct {
	queue       string
	class       workload.Class
	tasks       int
	accelerator int64
	runTime     time.Duration // mean of a task
	every       time.Duration // mean time between arrivals
}

// imageBuilds is the load of image builds (docs/hard-load.md) for 40 workers: urgent jobs of 5
// tasks among jobs of 13 and 39 tasks, which use four fifths of the accelerators.
func imageBuilds() []loadKind {
	class := func(priority int, slackFactor float64, target time.Duration) workload.Class {
		return workload.Class{Service: "service", MaxAttempts: 3, Priority: priority, SlackFactor: slackFactor, TargetRuntime: target}
	}
	return []loadKind{
		{"urgent", class(0, 1.5, 250*time.Millisecond), 5, 4, 2100 * time.Millisecond, 900 * time.Millisecond},
		{"middle", class(1, 2, time.Second), 13, 4, 9400 * time.Millisecond, 6 * time.Second},
		{"low", class(2, 3, 3*time.Second), 39, 2, 8100 * time.Millisecond, 6 * time.Second},
	}
}

// played is what became of the jobs of one queue.
type played struct{ jobs, late, lost int }

// playLoad plays imageBuilds for one minute on 40 workers, of which some have 0.45 of the speed of
// the others. It returns what became of the jobs by queue, and the log lines about speeds. Jobs
// differ in size by 30%, tasks of a job by 15%.
func playLoad(t *testing.T, slow int, adjust func(*fleet.Options), seed uint64) (results map[string]played, logged []string) {
	const length = time.Minute
	results = map[string]played{}
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 40)
		b.adjustOptions = adjust
		kinds := imageBuilds()
		b.catalog = &catalog.Catalog{}
		for _, k := range kinds {
			b.catalog.Queues = append(b.catalog.Queues, catalog.Queue{Name: k.queue, Class: k.class})
		}
		for i := range slow {
			b.workers.UpdateFaults(i*40/max(1, slow), func(f *fleettest.Faults) { f.Slowdown = 1 / 0.45 })
		}
		random := rand.New(rand.NewPCG(seed, 0))
		sizes := map[string]time.Duration{}
		b.workers.SetOutcome(func(task workload.TaskID, _ int64) fleettest.Outcome {
			r := rand.New(rand.NewPCG(seed, uint64(task.Index)<<32+uint64(sizes[task.Job])))
			return fleettest.Outcome{Duration: time.Duration(float64(sizes[task.Job]) * math.Exp(0.15*r.NormFloat64()))}
		})
		b.startVM()
		b.sleep(2 * time.Second)
		next := make([]time.Duration, len(kinds))
		jobs := map[string]*workload.Job{}
		for begin, now := time.Now(), time.Duration(0); now < length; now = time.Since(begin) {
			for i, k := range kinds {
				if next[i] > now {
					continue
				}
				next[i] = now + time.Duration(random.ExpFloat64()*float64(k.every))
				size := time.Duration(float64(k.runTime) * math.Exp(0.3*random.NormFloat64()))
				j := b.buildJob(workload.Step{Tasks: k.tasks, Request: workload.Resources{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: k.accelerator}, Estimate: size, Checkpointing: true})
				j.Queue, j.Class = k.queue, k.class
				sizes[j.ID], jobs[j.ID] = size, j
				b.storeJob(j)
			}
			b.sleep(20 * time.Millisecond)
		}
		b.sleep(2 * time.Minute)
		took := map[string]time.Duration{}
		b.logLock.Lock()
		for _, line := range b.logLines {
			var id string
			var ms int64
			if i := strings.Index(line, `"job ends" "job"=`); i >= 0 {
				if _, err := fmt.Sscanf(line[i:], `"job ends" "job"=%q`, &id); err != nil {
					t.Fatal(err)
				}
				if _, err := fmt.Sscanf(line[strings.Index(line, `"tookMS"=`):], `"tookMS"=%d`, &ms); err != nil {
					t.Fatal(err)
				}
				took[id] = time.Duration(ms) * time.Millisecond
			}
			if strings.Contains(line, `"worker is slow"`) || strings.Contains(line, `"worker is fast"`) {
				logged = append(logged, line)
			}
		}
		b.logLock.Unlock()
		for id, j := range jobs {
			p := results[j.Queue]
			p.jobs++
			objective := time.Duration(j.Class.SlackFactor*float64(j.Steps[0].Estimate)) + j.Class.TargetRuntime
			switch d := took[id]; {
			case d == 0 || d > 3*objective:
				p.lost++
			case d > objective:
				p.late++
			}
			results[j.Queue] = p
		}
	})
	return results, logged
}

// playSeeds plays the load with three seeds.
func playSeeds(t *testing.T, slow int, adjust func(*fleet.Options)) (sum map[string]played, logged []string) {
	sum = map[string]played{}
	for seed := range uint64(3) {
		results, lines := playLoad(t, slow, adjust, seed)
		logged = append(logged, lines...)
		for queue, p := range results {
			s := sum[queue]
			sum[queue] = played{s.jobs + p.jobs, s.late + p.late, s.lost + p.lost}
		}
	}
	return sum, logged
}

// Guards against urgent jobs that are late because one of their tasks runs on a slow worker, and
// against other jobs that pay for it: a quarter of the workers is slow.
func TestUrgentJobsAvoidSlowWorkers(t *testing.T) {
	without, _ := playSeeds(t, 10, func(o *fleet.Options) { o.DisabledRules = fleet.RuleWorkerSpeed })
	with, _ := playSeeds(t, 10, func(o *fleet.Options) { o.WorkerSpeeds = true })
	t.Logf("without the rule %+v, with it %+v", without, with)
	if u := with["urgent"]; u.lost > 0 || 2*u.late > without["urgent"].late {
		t.Errorf("urgent jobs %+v, without the rule %+v", u, without["urgent"])
	}
	// The plays of one seed differ by some 5% of the jobs, as the order of events at the same
	// time is not fixed.
	lower := func(r map[string]played) played {
		return played{r["middle"].jobs + r["low"].jobs, r["middle"].late + r["low"].late, r["middle"].lost + r["low"].lost}
	}
	if w, o := lower(with), lower(without); w.lost > o.lost || float64(w.late) > float64(o.late)+0.1*float64(o.jobs) {
		t.Errorf("jobs of lower kinds %+v, without the rule %+v", w, o)
	}
}

// Guards against workers of the same speed that are told apart.
func TestEvenFleetHasNoSlowWorkers(t *testing.T) {
	if _, logged := playSeeds(t, 0, func(o *fleet.Options) { o.WorkerSpeeds = true }); len(logged) > 0 {
		t.Errorf("workers have got speeds: %s", strings.Join(logged, "\n"))
	}
}

// Guards against a successor that knows slow workers only once the runs that it adopts have
// ended: it learns from their progress.
func TestSuccessorLearnsSpeedsFromProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 8)
		b.adjustOptions = func(o *fleet.Options) { o.WorkerSpeeds = true }
		b.startVM()
		b.startVM()
		b.sleep(time.Second)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 30 * time.Second} })
		for _, i := range []int{2, 5} {
			b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.Slowdown = 1 / 0.45 })
		}
		for range 4 {
			step := smallStep(16)
			step.Estimate, step.MaxPerWorker = 30*time.Second, 2
			b.submit(step)
		}
		b.sleep(3 * time.Second)
		if n := b.countLogged(`"worker is slow"`); n != 0 {
			t.Errorf("%d workers were slow before any progress", n)
		}
		b.killVM(b.ownerIndex())
		b.sleep(20 * time.Second)
		for _, id := range []string{"w02", "w05"} {
			if b.countLogged(`"worker is slow" "worker"="`+id+`"`) == 0 {
				t.Errorf("the successor does not know that %s is slow", id)
			}
		}
		b.sleep(2 * time.Minute)
	})
}

// countLogged returns the number of log lines that contain a text.
func (b *testbed) countLogged(text string) int {
	b.logLock.Lock()
	defer b.logLock.Unlock()
	n := 0
	for _, line := range b.logLines {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}
