package gate

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/carawayusher/carawayusher/pkg/configsync"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Defaults of Options.
const (
	// DefaultMaxProposals bounds the list of one VM.
	DefaultMaxProposals = 1000
	// DefaultResumeRate is the number of automatic actions per second after a resume.
	DefaultResumeRate = 5
	// DefaultResumePeriod is how long the rate applies after a resume.
	DefaultResumePeriod = time.Minute
)

// Options configures a Gate.
type Options struct {
	Config configsync.Source
	// Recorder takes an event per new proposal; nil discards them.
	Recorder     timeline.Recorder
	MaxProposals int           // 0 means DefaultMaxProposals
	ResumeRate   float64       // automatic actions per second after a resume; 0 means DefaultResumeRate
	ResumePeriod time.Duration // 0 means DefaultResumePeriod
}

// Gate decides whether an automatic action may be taken now. It is safe for
// concurrent use.
type Gate struct {
	opts Options

	mu        sync.Mutex
	holds     map[string]bool // keys of the holds that were last seen in effect
	proposals map[string]Proposal
	order     []string // proposal IDs, oldest first
	paced     map[string]pace
}

// pace limits the actions under one hold key after its resume.
type pace struct {
	until   time.Time
	limiter *rate.Limiter
}

// New returns a Gate that follows the document of opts.Source.
func New(opts Options) *Gate {
	if opts.MaxProposals <= 0 {
		opts.MaxProposals = DefaultMaxProposals
	}
	if opts.ResumeRate <= 0 {
		opts.ResumeRate = DefaultResumeRate
	}
	if opts.ResumePeriod <= 0 {
		opts.ResumePeriod = DefaultResumePeriod
	}
	if opts.Recorder == nil {
		opts.Recorder = timeline.Discard{}
	}
	g := &Gate{opts: opts, holds: map[string]bool{}, proposals: map[string]Proposal{}, paced: map[string]pace{}}
	opts.Config.Subscribe(func(doc *policy.Document) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.refresh(doc, time.Now())
	})
	return g
}

// Allow reports whether an action of the kind may be taken for the workspace
// (empty for an action on the whole system). While automation is held it
// records p as a proposal and returns false; p.ID, if set, is kept as the
// identity by which the proposer finds the action again. It also returns false, without a
// proposal, while no document is in force, because the hold state is then
// unknown, and when the rate after a resume is used up; the caller decides
// anew later.
func (g *Gate) Allow(kind Kind, workspace string, p Proposal) bool {
	doc := g.opts.Config.Current()
	if doc == nil || !slices.Contains(Kinds(), kind) {
		return false
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(doc, now)
	if _, held := doc.Held(workspace, now); held {
		p.Kind, p.Workspace = kind, workspace
		g.propose(p, now)
		return false
	}
	return g.withinPace(workspace, now)
}

// Enabled returns, for each kind of the closed list, whether the present
// document enables it for the workspace. The rate after a resume does not count.
func (g *Gate) Enabled(workspace string) map[Kind]bool {
	doc := g.opts.Config.Current()
	held := true
	if doc != nil {
		_, held = doc.Held(workspace, time.Now())
	}
	enabled := make(map[Kind]bool, len(Kinds()))
	for _, k := range Kinds() {
		enabled[k] = !held
	}
	return enabled
}

// Proposals returns the recorded proposals, oldest first.
func (g *Gate) Proposals() []Proposal {
	doc := g.opts.Config.Current()
	g.mu.Lock()
	defer g.mu.Unlock()
	if doc != nil {
		g.refresh(doc, time.Now())
	}
	list := make([]Proposal, 0, len(g.order))
	for _, id := range g.order {
		list = append(list, g.proposals[id])
	}
	return list
}

// Take removes the proposal and returns it, for an operator who confirmed it.
// A second Take of the same proposal returns false.
func (g *Gate) Take(id string) (Proposal, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.proposals[id]
	if ok {
		g.remove(id)
	}
	return p, ok
}

// refresh compares the holds in effect with those last seen and handles the
// ones that ended, by a resume or by their own end.
func (g *Gate) refresh(doc *policy.Document, now time.Time) {
	active := map[string]bool{}
	for key, h := range doc.Holds {
		if h.Until.IsZero() || now.Before(h.Until) {
			active[key] = true
		}
	}
	for key := range g.holds {
		if !active[key] {
			g.paced[key] = pace{until: now.Add(g.opts.ResumePeriod), limiter: g.newLimiter()}
			g.clear(doc, key, now)
		}
	}
	g.holds = active
}

func (g *Gate) newLimiter() *rate.Limiter {
	return rate.NewLimiter(rate.Limit(g.opts.ResumeRate), max(1, int(g.opts.ResumeRate)))
}

// clear drops the proposals that the ended hold covered; they are decided anew
// from the present state, never replayed.
func (g *Gate) clear(doc *policy.Document, key string, now time.Time) {
	for _, id := range slices.Clone(g.order) {
		p := g.proposals[id]
		_, held := doc.Held(p.Workspace, now)
		if !held && (key == policy.HoldAll || key == p.Workspace) {
			g.remove(id)
		}
	}
}

func (g *Gate) withinPace(workspace string, now time.Time) bool {
	for _, key := range []string{policy.HoldAll, workspace} {
		p, ok := g.paced[key]
		switch {
		case !ok:
		case now.After(p.until):
			delete(g.paced, key)
		case !p.limiter.AllowN(now, 1):
			return false
		}
	}
	return true
}

// propose adds p or refreshes the one with the same identity.
func (g *Gate) propose(p Proposal, now time.Time) {
	if p.ID == "" {
		p.ID = proposalID(p)
	}
	if old, ok := g.proposals[p.ID]; ok {
		p.ProposedAt = old.ProposedAt
		g.proposals[p.ID] = p
		return
	}
	if len(g.order) >= g.opts.MaxProposals {
		g.remove(g.order[0])
	}
	p.ProposedAt = now.UTC()
	g.proposals[p.ID] = p
	g.order = append(g.order, p.ID)
	g.opts.Recorder.Record(timeline.Event{
		Type: timeline.Proposed, Job: p.Job, Workspace: p.Workspace, Worker: p.Worker, Domain: p.Domain,
		Reason: string(p.Kind) + ": " + p.Reason, By: p.ID,
	})
}

func (g *Gate) remove(id string) {
	delete(g.proposals, id)
	g.order = slices.DeleteFunc(g.order, func(other string) bool { return other == id })
}

// proposalID derives the identity of a proposal without one from what the action is and whom it
// concerns, so that a decision that is made again does not add a second entry.
func proposalID(p Proposal) string {
	key := strings.Join([]string{string(p.Kind), p.Workspace, string(p.Job), p.Worker, p.Domain}, "\x00")
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:6])
}

// Restore returns a proposal that was taken and could not be carried out. It
// is dropped if automation is no longer held.
func (g *Gate) Restore(p Proposal) {
	doc := g.opts.Config.Current()
	if doc == nil {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, held := doc.Held(p.Workspace, now); held {
		g.propose(p, now)
	}
}
