package plan

import (
	"context"
	"slices"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// checkGuarantees refuses a plan that makes a guarantee impossible. Guarantees
// that are impossible already, for example because a rack was lost, are shown
// and do not stop other changes, such as a drain or a hold.
func (p *Planner) checkGuarantees(ctx context.Context, made *Plan, req PreviewRequest, domains []DomainPreview) error {
	if err := p.checkDomains(req.Next, domains); err != nil {
		return err
	}
	if !slices.ContainsFunc(domains, func(d DomainPreview) bool { return len(d.Impossible) > 0 }) {
		return nil
	}
	present := req
	present.Next = p.opts.Source.Current()
	before, err := p.opts.Previewer.Preview(ctx, present)
	if err != nil {
		return err
	}
	already := map[string]bool{}
	for _, d := range before {
		for _, text := range d.Impossible {
			already[d.Domain+text] = true
		}
	}
	for _, d := range domains {
		for _, text := range d.Impossible {
			if !already[d.Domain+text] {
				return errkind.New(errkind.GuaranteeUnmeetable, "in failure domain %s no state of the fleet can meet the guarantees: %s; lower the guarantee or add workers",
					d.Domain, text)
			}
			made.Unmeetable = append(made.Unmeetable, text+" (already so)")
		}
	}
	return nil
}

// checkDomains refuses a guarantee in a failure domain that is not known and in
// which no guarantee is held at present.
func (p *Planner) checkDomains(next *policy.Document, domains []DomainPreview) error {
	present := p.opts.Source.Current()
	for _, name := range policyNames(next) {
		for _, g := range next.Workspaces[name].Guarantees {
			known := slices.ContainsFunc(domains, func(d DomainPreview) bool { return d.Domain == g.FailureDomain })
			if !known && len(domains) > 0 && !holdsIn(present, g.FailureDomain) {
				return errkind.New(errkind.GuaranteeUnmeetable, "workspace %s: the failure domain %q is not known; list them with 'carawayctl domains'",
					name, g.FailureDomain)
			}
		}
	}
	return nil
}

func holdsIn(doc *policy.Document, domain string) bool {
	for _, ws := range doc.Workspaces {
		if slices.ContainsFunc(ws.Guarantees, func(g policy.Guarantee) bool { return g.FailureDomain == domain }) {
			return true
		}
	}
	return false
}

func policyNames(doc *policy.Document) []string {
	names := make([]string, 0, len(doc.Workspaces))
	for name := range doc.Workspaces {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
