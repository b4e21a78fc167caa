package explain

import (
	"fmt"
	"slices"
	"time"
)

// standingMessage is the message of the owner's lines about a job of which a task may
// run and no run is running.
const standingMessage = "job is standing"

// standingReasons explains the reasons in these lines.
var standingReasons = map[string]string{
	"not_stored":     "its assignment could not be stored; look at the lines about job progress",
	"starting":       "its worker had not confirmed the start",
	"stopping":       "a run that was stopped had not ended",
	"uncertain":      "it was not known whether a run had started or still ran",
	"silent":         "the worker of its run did not answer",
	"adopted":        "a run of the former owner was not resolved",
	"former_run":     "members of its gang's former run were left",
	"start_failed":   "its starts were not accepted",
	"not_planned":    "the owner did not try to place it; look at the lines about placement cycles and delays",
	"awaiting_stops": "runs were being stopped for it",
	"blocked":        "it was not placed",
	"no_capacity":    "no worker had enough free capacity",
	"fragmented":     "the free capacity was spread over too many workers",
	"unschedulable":  "capacity was free only on workers that accept no tasks; look at the states of workers",
	"awaiting_ends":  "runs that end soon were about to free its capacity, so that nothing was stopped for it",
	"kept_for_stops": "the free capacity was kept for other work that waited for stops",
	"reserved":       "the free capacity was reserved for a waiting gang",
	"headroom":       "the free capacity was kept for urgent work",
	"ejected":        "the free workers were ejected, as runs of several jobs had failed on them",
	"single_rack":    "it would have fitted only on several racks",
	"excluded":       "it had failed on the workers that were free",
	"advice":         "it had no tickets for the workers that were free",
	"limit":          "its limit of tasks per worker kept it off the workers that were free",
	"label":          "the workers that were free did not have the label that it requires",
	"combined":       "several constraints together kept it off the workers that were free",
}

// standingCause explains the line with the longest time in which a job has stood.
func standingCause(lines []logEntry) string {
	var longest logEntry
	for _, l := range lines {
		if l.message == standingMessage && l.duration("standingMS") >= longest.duration("standingMS") {
			longest = l
		}
	}
	reason := longest.text("reason")
	text, known := standingReasons[reason]
	if !known {
		text = reason
	}
	if w := longest.text("worker"); w != "" {
		text += fmt.Sprintf(" (worker %s, %s)", w, longest.text("workerState"))
	}
	return fmt.Sprintf("it stood for at least %.1f s: %s", longest.duration("standingMS").Seconds(), text)
}

// standingTimes splits the time in which a job stood by the reasons in its lines. Each
// line covers the time since the one before, or since the job began to stand.
func standingTimes(lines []logEntry) map[string]time.Duration {
	slices.SortStableFunc(lines, func(a, b logEntry) int { return a.at.Compare(b.at) })
	times := map[string]time.Duration{}
	last := time.Duration(0)
	for _, l := range lines {
		stood := l.duration("standingMS")
		if stood < last {
			last = 0 // it has run in between
		}
		times[l.text("reason")] += stood - last
		last = stood
	}
	return times
}
