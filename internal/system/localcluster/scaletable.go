package localcluster

import (
	"fmt"
	"io"
	"text/tabwriter"
)

func printRoleTable(out io.Writer, sizes []*SizeReport) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\nworkers\trole, each\tcount\tcores\twaited\tMB\tpeak MB\tKB/s in\tKB/s out\treads/s\twrites/s\tfiles\t")
	for _, size := range sizes {
		for i := range size.Roles {
			fmt.Fprintf(table, "%d\t", size.Workers)
			size.Roles[i].row(table)
		}
	}
	_ = table.Flush() // a write error shows in the table that follows
}

func printSizeTable(out io.Writer, sizes []*SizeReport) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\nworkers\tdispatchers\ttouch s\tresident\tof\tfill starts/s\tstarts/s\tholds/s\tlists/s\tstart p50 ms\tp99\tdone p50\tp99\t"+
		"config s\tlog KB\tstate KB\tlost\tbroken\t")
	for _, size := range sizes {
		size.row(table)
	}
	return table.Flush()
}

func (s *SizeReport) row(out io.Writer) {
	fmt.Fprintf(out, "%d\t%d\t%.1f\t%d\t%d\t%.0f\t%.1f\t%.0f\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%d\t%d\t%d\t%s\t\n",
		s.Workers, s.Dispatchers, s.ContactSeconds, s.Resident, s.ResidentWanted, s.FillStartsPerS, s.Orders.StartsPerS, s.Orders.HoldsPerS,
		s.Orders.ListsPerS, s.Latencies.Started.P50, s.Latencies.Started.P99, s.Latencies.Done.P50, s.Latencies.Done.P99,
		s.ConfigurationSeconds, s.Disk.LogBytes/kilobyte, s.Disk.SnapshotBytes/kilobyte, s.Jobs.Lost, countsText(s.Violations))
}
