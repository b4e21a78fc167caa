package admin

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/carawayusher/carawayusher/pkg/configsync"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/membership"
)

// Metrics collects the gauges on which the alerts of docs/OPERATIONS.md rest.
// It reads memory only.
type Metrics struct {
	Source configsync.Source
	View   membership.View
	Gate   interface{ Proposals() []gate.Proposal }
}

var (
	unmeetableDesc = gaugeDesc("guarantee_unmeetable", "1 for each workspace whose guarantee cannot be met now, by failure domain.", "failure_domain", "workspace")
	revisionDesc   = gaugeDesc("config_revision", "Revision of the configuration in force on this VM.")
	behindDesc     = gaugeDesc("config_behind", "Revisions by which this VM is behind the highest that it knows of.")
	heldDesc       = gaugeDesc("automation_held", "1 for each hold in effect; the workspace * is the whole system.", "workspace")
	proposalsDesc  = gaugeDesc("proposals", "Automatic actions that a hold keeps back on this VM.")
	membersDesc    = gaugeDesc("members", "VMs that this VM knows, by state.", "state")
)

func gaugeDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("carawayusher_"+name, help, labels, nil)
}

// Describe sends the descriptions of all gauges.
func (m Metrics) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{unmeetableDesc, revisionDesc, behindDesc, heldDesc, proposalsDesc, membersDesc} {
		ch <- d
	}
}

// Collect sends the present values.
func (m Metrics) Collect(ch chan<- prometheus.Metric) {
	send := func(d *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	states := map[membership.State]int{membership.Alive: 0, membership.Suspect: 0, membership.Draining: 0}
	var highest int64
	for _, member := range m.View.Members() {
		states[member.State]++
		highest = max(highest, member.ConfigRevision)
	}
	for state, n := range states {
		send(membersDesc, float64(n), string(state))
	}
	for _, s := range m.View.Summaries() {
		for _, ws := range distinct(s.Unmeetable) {
			send(unmeetableDesc, 1, s.Domain, ws)
		}
	}
	send(proposalsDesc, float64(len(m.Gate.Proposals())))
	doc := m.Source.Current()
	if doc == nil {
		return
	}
	send(revisionDesc, float64(doc.Revision))
	send(behindDesc, float64(max(0, highest-doc.Revision)))
	now := time.Now()
	for ws, h := range doc.Holds {
		if h.Until.IsZero() || now.Before(h.Until) {
			send(heldDesc, 1, ws)
		}
	}
}

// distinct drops repeated names, which one gauge cannot hold twice.
func distinct(names []string) []string {
	seen := map[string]bool{}
	var out []string
	for _, n := range names {
		if !seen[n] {
			seen[n] = true
			out = append(out, n)
		}
	}
	return out
}
