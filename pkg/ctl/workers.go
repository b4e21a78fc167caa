package ctl

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/client"
)

func newWorkersCommand(conn *connection) *cobra.Command {
	return &cobra.Command{
		Use:   "workers",
		Short: "List the workers with their free accelerators and slots",
		Args:  noArguments,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var list api.WorkerList
			if err := conn.call(cmd.Context(), client.Request{Method: http.MethodGet, Path: "/v1/workers"}, &list); err != nil {
				return err
			}
			return conn.print(cmd.OutOrStdout(), list, workerTable(list.Workers))
		},
	}
}

func workerTable(workers []api.WorkerStatus) table {
	t := table{header: []string{"ID", "FAILURE DOMAIN", "RACK", "STATE", "ACCELERATORS FREE", "SLOTS FREE", "BUSY", "REASON"}}
	for _, w := range workers {
		busy := "-"
		if w.Usage != nil {
			busy = fmt.Sprintf("%.0f%%", 100*w.Usage.BusyShare)
		}
		t.rows = append(t.rows, []string{
			w.ID, w.FailureDomain, orHyphen(w.Rack), string(w.State),
			fmt.Sprintf("%d/%d", w.AcceleratorsFree, w.Accelerators), fmt.Sprintf("%d/%d", w.SlotsFree, w.Slots), busy, orHyphen(w.Reason),
		})
	}
	return t
}
