package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"

	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/httpapi"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

type platformSettings struct {
	listen  string
	vmsFile string
	seedVMs []string
	store   memory.Options
	faults  memory.Faults
}

func newPlatformCommand() *cobra.Command {
	var s platformSettings
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the key-value service and the VM list",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runPlatform(cmd, s) },
	}
	f := cmd.Flags()
	f.StringVar(&s.listen, "listen", "127.0.0.1:0", "address to serve on (host:port; port 0: chosen by the kernel)")
	f.StringVar(&s.vmsFile, "vms", "", "file with the VM list, a JSON array")
	f.StringArrayVar(&s.seedVMs, "seed-vm", nil, "one more VM as a JSON object; can be repeated")
	f.Float64Var(&s.store.WritesPerSecond, "writes-per-second", memory.DefaultWritesPerSecond, "rate limit of writes; negative: none")
	f.Float64Var(&s.store.ReadsPerSecond, "reads-per-second", memory.DefaultReadsPerSecond, "rate limit of reads; negative: none")
	f.IntVar(&s.store.History, "history", memory.DefaultHistory, "changes kept for watches")
	f.DurationVar(&s.faults.Delay, "delay", 0, "delay added to each call")
	f.DurationVar(&s.faults.VMListLag, "vm-list-lag", 0, "lag of the VM list")
	return cmd
}

func runPlatform(cmd *cobra.Command, s platformSettings) error {
	log, err := newLogger()
	if err != nil {
		return err
	}
	if s.store.VMs, err = readVMs(s.vmsFile, s.seedVMs); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.listen)
	if err != nil {
		return err
	}
	store := memory.NewStore(s.store)
	store.SetFaults(s.faults)
	fmt.Fprintf(cmd.OutOrStdout(), "listening address=%s\n", listener.Addr())
	log.Info("platform stand-in started", "address", listener.Addr().String(), "vms", len(s.store.VMs))
	err = serve(cmd.Context(), listener, httpapi.NewHandler(store, store, store), func() {})
	log.Info("platform stand-in ended", "calls", store.Counts().Calls)
	return err
}

// readVMs reads the VM list from a file and adds the given rows.
func readVMs(file string, rows []string) ([]platform.VM, error) {
	var vms []platform.VM
	if file != "" {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(raw, &vms); err != nil {
			return nil, fmt.Errorf("VM list %s: %w", file, err)
		}
	}
	for _, row := range rows {
		var vm platform.VM
		if err := json.Unmarshal([]byte(row), &vm); err != nil {
			return nil, fmt.Errorf("--seed-vm %s: %w", row, err)
		}
		vms = append(vms, vm)
	}
	return vms, nil
}
