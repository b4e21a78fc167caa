package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Cause says why a job spent a part of its time from acceptance to its end.
type Cause string

// Causes, in the order in which reports list them.
const (
	Running         Cause = "running"          // the run whose success ended the task
	WaitingCapacity Cause = "waiting_capacity" // no workers with enough free capacity
	WaitingStops    Cause = "waiting_stops"    // for runs that were being stopped in its favor
	Starting        Cause = "starting"         // from the placement to the start on the worker
	LostPreempted   Cause = "lost_preempted"   // a run that was preempted
	LostGang        Cause = "lost_gang"        // a run that fell with another member of its gang
	LostFailed      Cause = "lost_failed"      // a run that failed
	LostWorker      Cause = "lost_worker"      // a run whose worker fell silent or left
	LostStopped     Cause = "lost_stopped"     // a run that was stopped for another reason
	Unseen          Cause = "unseen"           // no owner knew that the task was due, as in a takeover
	Ending          Cause = "ending"           // from the last success to the end of the job
)

// Causes lists all causes.
var Causes = []Cause{Running, WaitingCapacity, WaitingStops, Starting, LostPreempted, LostGang, LostFailed, LostWorker, LostStopped, Unseen, Ending}

// JobAccount splits the time of a completed job by cause. The parts follow the chain of
// tasks that ended last and add up to Took.
type JobAccount struct {
	Job       string                  `json:"job"`
	Queue     string                  `json:"queue"`
	Workspace string                  `json:"workspace"`
	Accepted  time.Time               `json:"accepted"`
	Took      time.Duration           `json:"took_ns"`
	Target    time.Duration           `json:"target_ns"` // for a job of this running time
	Parts     map[Cause]time.Duration `json:"parts_ns"`
	// Standing is the time in which nothing of the job ran, by the owner's reason. The
	// owner logs it after 2 s and then every 5 s, so it is a lower bound.
	Standing map[string]time.Duration `json:"standing_ns,omitempty"`
}

// Late reports whether the job missed its target.
func (a *JobAccount) Late() bool { return a.Took > a.Target }

// jobLog is what the logs say about a job.
type jobLog struct {
	end       *logEntry
	placed    []logEntry // of all its steps
	runEnds   []logEntry
	stopCause map[string]Cause // by task and run
	standing  []logEntry
}

// Accounts reads the log lines of any number of VMs and returns the account of each
// completed job, in order of acceptance.
func Accounts(in io.Reader) ([]JobAccount, error) {
	jobs := map[string]*jobLog{}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok {
			addToJob(jobs, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "log lines")
	}
	var all []JobAccount
	for id, j := range jobs {
		if j.end != nil && j.end.text("state") == "completed" {
			all = append(all, j.account(id))
		}
	}
	slices.SortFunc(all, func(a, b JobAccount) int { return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.Job, b.Job)) })
	return all, nil
}

func addToJob(jobs map[string]*jobLog, l logEntry) {
	id := l.text("job")
	if task := l.text("task"); task != "" {
		id, _, _ = strings.Cut(task, ".")
	}
	if id == "" {
		return
	}
	j := jobs[id]
	if j == nil {
		j = &jobLog{stopCause: map[string]Cause{}}
		jobs[id] = j
	}
	switch l.message {
	case "job ends":
		j.end = &l
	case standingMessage:
		j.standing = append(j.standing, l)
	case "placed":
		j.placed = append(j.placed, l)
	case "run ended":
		j.runEnds = append(j.runEnds, l)
	case "run has lapsed on a silent worker":
		l.fields["reason"] = "lapsed"
		j.runEnds = append(j.runEnds, l)
	case "run is stopped":
		if _, known := j.stopCause[l.runKey()]; !known {
			j.stopCause[l.runKey()] = causeOfStop(l.text("reason"))
		}
	}
}

func (l logEntry) runKey() string { return fmt.Sprint(l.text("task"), "#", l.fields["run"]) }

// causeOfStop returns the cause behind the reason of a stop order.
func causeOfStop(reason string) Cause {
	switch {
	case reason == "preempted":
		return LostPreempted
	case strings.Contains(reason, "gang member"):
		return LostGang
	case strings.Contains(reason, "worker") || strings.Contains(reason, "machine"):
		return LostWorker
	}
	return LostStopped
}

// causeOfEnd returns the cause for which the time of a run without success was lost.
func (j *jobLog) causeOfEnd(end logEntry) Cause {
	switch end.text("reason") {
	case "failed":
		return LostFailed
	case "lapsed":
		return LostWorker
	}
	// The members of a gang that is stopped end as broken by the first one that stops.
	if c, ok := j.stopCause[end.runKey()]; ok {
		return c
	}
	if end.text("reason") == "stopped" {
		return LostStopped
	}
	return LostGang
}

// account walks back in time from the end of the job, along the task that ended last, its
// earlier runs and the tasks that it had to wait for.
func (j *jobLog) account(id string) JobAccount {
	took := j.end.duration("tookMS")
	w := walk{at: j.end.at, JobAccount: JobAccount{
		Job: id, Queue: j.end.text("queue"), Workspace: j.end.text("workspace"), Accepted: j.end.at.Add(-took), Took: took,
		Parts: map[Cause]time.Duration{}, Standing: standingTimes(j.standing),
	}}
	slices.SortStableFunc(j.runEnds, func(a, b logEntry) int { return a.at.Compare(b.at) })
	gap := Ending
	for _, end := range slices.Backward(j.runEnds) {
		if end.at.After(w.at) {
			continue // another task, while the one before was running
		}
		w.back(end.at, gap)
		gap = Unseen
		cause := Running
		if end.text("reason") != "done" {
			cause = j.causeOfEnd(end)
		}
		ran := end.duration("ranMS")
		w.back(end.at.Add(-ran), cause)
		if placed, ok := latestBefore(j.placementsOf(end), w.at); ok {
			if ran == 0 {
				w.back(placed.at, cause) // adopted from a former owner, which knew its start
			}
			w.back(placed.at, Starting)
			w.back(placed.at.Add(-placed.duration("stopsMS")), WaitingStops)
			w.back(placed.at.Add(-placed.duration("waitedMS")), WaitingCapacity)
		}
	}
	w.back(w.Accepted, Unseen)
	slack, _ := j.end.fields["slackFactor"].(float64)
	w.Target = time.Duration(slack*float64(w.Parts[Running])) + j.end.duration("targetRuntimeMS")
	return w.JobAccount
}

// walk is an account in progress: the time after at has been attributed.
type walk struct {
	JobAccount
	at time.Time
}

// back moves the walk to an earlier time, at most to the acceptance, and attributes the
// time between.
func (w *walk) back(to time.Time, c Cause) {
	if to.Before(w.Accepted) {
		to = w.Accepted
	}
	if to.Before(w.at) {
		w.Parts[c] += w.at.Sub(to)
		w.at = to
	}
}

// placementsOf returns the placements of the step whose run has ended.
func (j *jobLog) placementsOf(end logEntry) []logEntry {
	var same []logEntry
	for _, p := range j.placed {
		if step := fmt.Sprintf(".%v.%v.", p.fields["occurrence"], p.fields["step"]); strings.Contains(end.text("task"), step) {
			same = append(same, p)
		}
	}
	return same
}

// latestBefore returns the latest entry that is not after a time.
func latestBefore(entries []logEntry, at time.Time) (latest logEntry, ok bool) {
	for _, l := range entries {
		if !l.at.After(at) && (!ok || l.at.After(latest.at)) {
			latest, ok = l, true
		}
	}
	return latest, ok
}

// accountGroups are the groupings of an account report.
var accountGroups = []struct {
	name string
	of   func(*JobAccount) string
}{
	{"queue", func(a *JobAccount) string { return a.Queue }},
	{"workspace", func(a *JobAccount) string { return a.Workspace }},
	{"accepted", func(a *JobAccount) string { return a.Accepted.Truncate(accountWindow).Format("15:04:05") }},
}

// accountWindow is the length of the windows by time of acceptance.
const accountWindow = 2 * time.Second

// WriteAccounts writes tables of the late jobs' time in seconds, by cause: by queue,
// workspace and window.
func WriteAccounts(out io.Writer, all []JobAccount) error {
	for _, g := range accountGroups {
		if err := writeAccountTable(out, g.name, g.of, all); err != nil {
			return err
		}
	}
	return writeStandingTable(out, all)
}

// writeStandingTable writes how long the jobs stood, by reason, if any stood.
func writeStandingTable(out io.Writer, all []JobAccount) error {
	type row struct {
		jobs, late int
		time       time.Duration
	}
	rows := map[string]*row{}
	for i := range all {
		for reason, d := range all[i].Standing {
			r := rows[reason]
			if r == nil {
				r = &row{}
				rows[reason] = r
			}
			r.jobs++
			r.time += d
			if all[i].Late() {
				r.late++
			}
		}
	}
	if len(rows) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "standing\tjobs\tlate\tseconds")
	for _, reason := range slices.Sorted(maps.Keys(rows)) {
		r := rows[reason]
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\n", reason, r.jobs, r.late, r.time.Seconds())
	}
	fmt.Fprintln(w)
	if err := w.Flush(); err != nil {
		return errkind.Wrap(err, errkind.Internal, "account")
	}
	return nil
}

func writeAccountTable(out io.Writer, name string, of func(*JobAccount) string, all []JobAccount) error {
	type row struct {
		jobs, late int
		parts      map[Cause]time.Duration
	}
	rows := map[string]*row{}
	var names []string
	for i := range all {
		key := of(&all[i])
		r := rows[key]
		if r == nil {
			r = &row{parts: map[Cause]time.Duration{}}
			rows[key] = r
			names = append(names, key)
		}
		r.jobs++
		if !all[i].Late() {
			continue
		}
		r.late++
		for c, d := range all[i].Parts {
			r.parts[c] += d
		}
	}
	slices.Sort(names)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\tjobs\tlate", name)
	for _, c := range Causes {
		fmt.Fprintf(w, "\t%s", c)
	}
	fmt.Fprintln(w)
	for _, n := range names {
		r := rows[n]
		fmt.Fprintf(w, "%s\t%d\t%d", n, r.jobs, r.late)
		for _, c := range Causes {
			fmt.Fprintf(w, "\t%.1f", r.parts[c].Seconds())
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w)
	if err := w.Flush(); err != nil {
		return errkind.Wrap(err, errkind.Internal, "account")
	}
	return nil
}

// WriteAccountsJSON writes one JSON object a line for each job.
func WriteAccountsJSON(out io.Writer, all []JobAccount) error {
	enc := json.NewEncoder(out)
	for i := range all {
		if err := enc.Encode(&all[i]); err != nil {
			return errkind.Wrap(err, errkind.Internal, "account")
		}
	}
	return nil
}
