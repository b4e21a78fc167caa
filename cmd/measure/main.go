// Command measure drives the scheduler and simple baselines through the same
// loads on a virtual clock and prints one line for each load, measure and
// baseline. The same seed prints the same bytes.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/carawayusher/carawayusher/pkg/sched"
)

func main() {
	var o options
	cmd := &cobra.Command{
		Use: "measure", Short: "Compare the scheduler with baselines under load", SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd.OutOrStdout()) },
	}
	cmd.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the loads")
	cmd.Flags().StringVar(&o.only, "only", "", "run only loads whose name contains this")
	cmd.Flags().StringVar(&o.without, "without", "", "switch one rule off")
	cmd.Flags().BoolVar(&o.ablate, "ablate", false, "compare the rules in use with each rule switched off instead of with the baselines")
	cmd.Flags().IntVar(&o.parallel, "parallel", 3, "simulations at a time")
	cmd.AddCommand(slopesCommand())
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}

type options struct {
	seed     uint64
	only     string
	without  string
	ablate   bool
	parallel int
}

// ours returns the scheduler with its rules, less the one with the given name.
func ours(without string) (func(string) scheduler, error) {
	rules := sched.DefaultRules()
	if without != "" && !rules.Disable(without) {
		return nil, fmt.Errorf("unknown rule %q; rules are %s", without, strings.Join(sched.RuleNames(), ", "))
	}
	return func(name string) scheduler { return sched.NewDomain(name, sched.Options{Rules: rules}) }, nil
}

func (o *options) run(w io.Writer) error {
	us, err := ours(o.without)
	if err != nil {
		return err
	}
	all := append([]candidate{{"ours", us}}, baselines...)
	if o.ablate {
		all = all[:1]
		for _, name := range sched.RuleNames() {
			without, err := ours(name)
			if err != nil {
				return err
			}
			all = append(all, candidate{"without_" + name, without})
		}
	}
	for i := range deployments {
		for k := range loads {
			name := deployments[i].name + "/" + loads[k].name
			if strings.Contains(name, o.only) {
				if err := o.compare(w, name, &deployments[i], &loads[k], all); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// compare runs one load under each scheduler; the first is ours.
func (o *options) compare(w io.Writer, name string, dep *deployment, l *load, all []candidate) error {
	results := make([]result, len(all))
	var group errgroup.Group
	group.SetLimit(o.parallel)
	for i, c := range all {
		group.Go(func() error {
			s := newSim(dep, l, o.seed, generate(dep, l, o.seed), c.make)
			s.loop()
			results[i] = s.measure()
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, m := range measures {
		for i, c := range all[1:] {
			base, ours := m.value(results[i+1]), m.value(results[0])
			ratio := "n/a"
			if base != 0 {
				ratio = fmt.Sprintf("%.3f", ours/base)
			}
			fmt.Fprintf(w, "measure=%s load=%s seed=%d baseline=%s baseline_value=%.4f ours=%.4f ratio=%s\n",
				m.name, name, o.seed, c.name, base, ours, ratio)
		}
	}
	if r := results[0]; r.unfinished > 0 || r.unmeetable {
		fmt.Fprintf(w, "note load=%s seed=%d unfinished=%d guarantee_unmeetable_for_a_time=%v\n", name, o.seed, r.unfinished, r.unmeetable)
	}
	return nil
}
