package plan

import (
	"context"
	"slices"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// checkGuarantees rejects a plan that makes a guarantee impossible. Guarantees
// that are already impossible, for example because a rack was lost, are listed as
// unmeetable and do not block other changes, such as a drain or a hold.
func (p *Planner) checkGuarantees(ctx context.Context, plan *Plan, req PreviewRequest, domains []DomainPreview) error {
	if err := p.checkGuaranteeDomains(req.Next, domains); err != nil {
		return err
	}
	if !slices.ContainsFunc(domains, func(d DomainPreview) bool { return len(d.Impossible) > 0 }) {
		return nil
	}
	current := req
	current.Next = p.opts.Source.Current()
	before, err := p.opts.Previewer.Preview(ctx, current)
	if err != nil {
		return err
	}
	impossibleBefore := map[string]bool{}
	for _, d := range before {
		for _, text := range d.Impossible {
			impossibleBefore[d.Domain+text] = true
		}
	}
	for _, d := range domains {
		for _, text := range d.Impossible {
			if !impossibleBefore[d.Domain+text] {
				return errkind.New(errkind.GuaranteeUnmeetable, "in failure domain %s no state of the fleet can meet the guarantees: %s; lower the guarantee or add workers",
					d.Domain, text)
			}
			plan.Unmeetable = append(plan.Unmeetable, text+" (already so)")
		}
	}
	return nil
}

// checkGuaranteeDomains rejects a guarantee in an unknown failure domain, unless
// the current configuration already has a guarantee there or there are no previews.
func (p *Planner) checkGuaranteeDomains(next *policy.Document, domains []DomainPreview) error {
	current := p.opts.Source.Current()
	for _, name := range workspaceNames(next) {
		for _, g := range next.Workspaces[name].Guarantees {
			known := slices.ContainsFunc(domains, func(d DomainPreview) bool { return d.Domain == g.FailureDomain })
			if !known && len(domains) > 0 && !hasGuaranteeIn(current, g.FailureDomain) {
				return errkind.New(errkind.GuaranteeUnmeetable, "workspace %s: the failure domain %q is not known; list them with 'carawayctl domains'",
					name, g.FailureDomain)
			}
		}
	}
	return nil
}

func hasGuaranteeIn(doc *policy.Document, domain string) bool {
	for _, ws := range doc.Workspaces {
		if slices.ContainsFunc(ws.Guarantees, func(g policy.Guarantee) bool { return g.FailureDomain == domain }) {
			return true
		}
	}
	return false
}

func workspaceNames(doc *policy.Document) []string {
	names := make([]string, 0, len(doc.Workspaces))
	for name := range doc.Workspaces {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
