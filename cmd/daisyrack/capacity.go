package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/daisyrack/daisyrack/internal/entry"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const millisPerCore = 1000

// printCapacity shows for each failure domain what is idle and why, what the
// idle processors cost, and the tasks that wait although hardware is idle.
func printCapacity(s entry.Status, coreHour float64) error {
	w := newTable("DOMAIN\tRACK\tCORES\tIDLE CORES\tIDLE GB\tIDLE ACCEL\tCOST/H\tWAITING\tREASON")
	for _, o := range owners(s) {
		waiting := o.TasksByState["waiting"] + o.TasksByState["pending"]
		printUsable(w, o.FailureDomain, "all", o.Capacity.Sum, coreHour, fmt.Sprint(waiting))
		for _, r := range o.Capacity.Racks {
			printUsable(w, o.FailureDomain, r.Rack, r, coreHour, "")
		}
	}
	return w.Flush()
}

func printUsable(w *tabwriter.Writer, domain, rack string, u place.CapacityStats, coreHour float64, waiting string) {
	idle := u.Idle
	cores := float64(idle.CPUMillis) / millisPerCore
	_, _ = fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\t%d\t%.2f\t%s\t%s\n", domain, rack,
		float64(u.Total.CPUMillis)/millisPerCore, cores, float64(idle.MemoryMB)/1024, idle.Accelerators,
		cores*coreHour, waiting, mainReason(u))
}

// mainReason returns the cause of the largest part of the idle processors.
func mainReason(u place.CapacityStats) string {
	reason, most := "", int64(0)
	for _, r := range u.IdleCauses {
		if r.Amount.CPUMillis > most {
			reason, most = r.Cause.String(), r.Amount.CPUMillis
		}
	}
	return reason
}
