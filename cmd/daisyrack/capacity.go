package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/daisyrack/daisyrack/internal/entry"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const millisPerCore = 1000

// printCapacity prints for each failure domain and rack the idle resources, the
// main cause, and the cost of the idle cores per hour, and for each failure
// domain also how many tasks wait.
func printCapacity(s entry.Status, coreHour float64) error {
	w := newTable("DOMAIN\tRACK\tCORES\tIDLE CORES\tIDLE GB\tIDLE ACCEL\tCOST/H\tWAITING\tREASON")
	for _, o := range ownerStatuses(s) {
		waiting := o.TasksByState["waiting"] + o.TasksByState["pending"]
		printCapacityRow(w, o.FailureDomain, "all", o.Capacity.Sum, coreHour, fmt.Sprint(waiting))
		for _, r := range o.Capacity.Racks {
			printCapacityRow(w, o.FailureDomain, r.Rack, r, coreHour, "")
		}
	}
	return w.Flush()
}

func printCapacityRow(w *tabwriter.Writer, domain, rack string, stats place.CapacityStats, coreHour float64, waiting string) {
	idle := stats.Idle
	cores := float64(idle.CPUMillis) / millisPerCore
	_, _ = fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\t%d\t%.2f\t%s\t%s\n", domain, rack,
		float64(stats.Total.CPUMillis)/millisPerCore, cores, float64(idle.MemoryMB)/1024, idle.Accelerators,
		cores*coreHour, waiting, mainIdleCause(stats))
}

// mainIdleCause returns the cause of the largest share of idle CPU.
func mainIdleCause(stats place.CapacityStats) string {
	cause, largest := "", int64(0)
	for _, r := range stats.IdleCauses {
		if r.Amount.CPUMillis > largest {
			cause, largest = r.Cause.String(), r.Amount.CPUMillis
		}
	}
	return cause
}
