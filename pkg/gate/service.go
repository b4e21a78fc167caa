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
	// DefaultMaxProposals is the maximum number of proposals that one VM keeps.
	DefaultMaxProposals = 1000
	// DefaultResumeRate is the number of automatic actions per second after a resume.
	DefaultResumeRate = 5
	// DefaultResumePeriod is how long the rate limit applies after a resume.
	DefaultResumePeriod = time.Minute
)

// Options configures a Gate.
type Options struct {
	Config configsync.Source
	// Recorder receives an event per new proposal; nil discards them.
	Recorder     timeline.Recorder
	MaxProposals int           // 0 means DefaultMaxProposals
	ResumeRate   float64       // automatic actions per second after a resume; 0 means DefaultResumeRate
	ResumePeriod time.Duration // 0 means DefaultResumePeriod
}

// Gate decides whether an automatic action may be taken now. It is safe for
// concurrent use.
type Gate struct {
	opts Options

	mu            sync.Mutex
	activeHolds   map[string]bool // keys of the automation holds in effect at the last update
	proposals     map[string]Proposal
	proposalOrder []string // proposal IDs, oldest first
	resumeLimits  map[string]resumeLimit
}

// resumeLimit limits the rate of actions after the hold with one key has ended.
type resumeLimit struct {
	until   time.Time
	limiter *rate.Limiter
}

// New returns a Gate that follows the policy document of opts.Config.
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
	g := &Gate{opts: opts, activeHolds: map[string]bool{}, proposals: map[string]Proposal{}, resumeLimits: map[string]resumeLimit{}}
	opts.Config.Subscribe(func(doc *policy.Document) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.updateHolds(doc, time.Now())
	})
	return g
}

// Allow reports whether an action of the kind may be taken for the workspace
// (empty for an action on the whole system). During an automation hold it records
// p as a proposal and returns false; p.ID, if set, is kept, so that the proposer
// can identify the action later. It also returns false, without a proposal, if the
// kind is unknown, if there is no policy document, because the hold state is then
// unknown, and if the rate limit after a resume is exceeded; the caller then
// decides again later.
func (g *Gate) Allow(kind Kind, workspace string, p Proposal) bool {
	doc := g.opts.Config.Current()
	if doc == nil || !slices.Contains(Kinds(), kind) {
		return false
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateHolds(doc, now)
	if _, held := doc.Held(workspace, now); held {
		p.Kind, p.Workspace = kind, workspace
		g.recordProposal(p, now)
		return false
	}
	return g.allowAfterResume(workspace, now)
}

// Enabled returns, for each kind, whether the current policy document enables it
// for the workspace. The rate limit after a resume is not considered.
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
		g.updateHolds(doc, time.Now())
	}
	list := make([]Proposal, 0, len(g.proposalOrder))
	for _, id := range g.proposalOrder {
		list = append(list, g.proposals[id])
	}
	return list
}

// Take removes a proposal that an operator confirmed and returns it. A second Take
// of the same proposal returns false.
func (g *Gate) Take(id string) (Proposal, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.proposals[id]
	if ok {
		g.removeProposal(id)
	}
	return p, ok
}

// updateHolds compares the holds in effect with those at the last update. For each
// hold that ended, by a resume or by expiry, it starts the rate limit and drops the
// proposals. The caller holds g.mu.
func (g *Gate) updateHolds(doc *policy.Document, now time.Time) {
	active := map[string]bool{}
	for key, h := range doc.Holds {
		if h.Until.IsZero() || now.Before(h.Until) {
			active[key] = true
		}
	}
	for key := range g.activeHolds {
		if !active[key] {
			g.resumeLimits[key] = resumeLimit{until: now.Add(g.opts.ResumePeriod), limiter: g.newLimiter()}
			g.dropProposals(doc, key, now)
		}
	}
	g.activeHolds = active
}

func (g *Gate) newLimiter() *rate.Limiter {
	return rate.NewLimiter(rate.Limit(g.opts.ResumeRate), max(1, int(g.opts.ResumeRate)))
}

// dropProposals removes the proposals that the ended hold covered and no other hold
// covers. They are never replayed: callers decide again from the current state.
func (g *Gate) dropProposals(doc *policy.Document, key string, now time.Time) {
	for _, id := range slices.Clone(g.proposalOrder) {
		p := g.proposals[id]
		_, held := doc.Held(p.Workspace, now)
		if !held && (key == policy.HoldAll || key == p.Workspace) {
			g.removeProposal(id)
		}
	}
}

func (g *Gate) allowAfterResume(workspace string, now time.Time) bool {
	for _, key := range []string{policy.HoldAll, workspace} {
		p, ok := g.resumeLimits[key]
		switch {
		case !ok:
		case now.After(p.until):
			delete(g.resumeLimits, key)
		case !p.limiter.AllowN(now, 1):
			return false
		}
	}
	return true
}

// recordProposal adds p or replaces the proposal with the same ID, keeping its
// ProposedAt.
func (g *Gate) recordProposal(p Proposal, now time.Time) {
	if p.ID == "" {
		p.ID = proposalID(p)
	}
	if old, ok := g.proposals[p.ID]; ok {
		p.ProposedAt = old.ProposedAt
		g.proposals[p.ID] = p
		return
	}
	if len(g.proposalOrder) >= g.opts.MaxProposals {
		g.removeProposal(g.proposalOrder[0])
	}
	p.ProposedAt = now.UTC()
	g.proposals[p.ID] = p
	g.proposalOrder = append(g.proposalOrder, p.ID)
	g.opts.Recorder.Record(timeline.Event{
		Type: timeline.Proposed, Job: p.Job, Workspace: p.Workspace, Worker: p.Worker, Domain: p.Domain,
		Reason: string(p.Kind) + ": " + p.Reason, By: p.ID,
	})
}

func (g *Gate) removeProposal(id string) {
	delete(g.proposals, id)
	g.proposalOrder = slices.DeleteFunc(g.proposalOrder, func(other string) bool { return other == id })
}

// proposalID derives an ID from the kind of the action and what it applies to, so
// that a repeated decision does not add a second proposal.
func proposalID(p Proposal) string {
	key := strings.Join([]string{string(p.Kind), p.Workspace, string(p.Job), p.Worker, p.Domain}, "\x00")
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:6])
}

// Restore puts back a proposal that was taken and could not be carried out. The
// proposal is dropped if its workspace is no longer under an automation hold.
func (g *Gate) Restore(p Proposal) {
	doc := g.opts.Config.Current()
	if doc == nil {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, held := doc.Held(p.Workspace, now); held {
		g.recordProposal(p, now)
	}
}
