// Package timeline merges the events of several VMs into one ordered list.
package timeline

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/galenasail/galenasail/cmd/internal/adminclient"
	"github.com/galenasail/galenasail/core/event"
)

// Row is one event with its time on the local clock.
type Row struct {
	// At is the time of the event, corrected by the clock offset of its VM.
	At time.Time `json:"at"`
	// OffsetMs is by how much the VM's clock is ahead of the local one, in milliseconds.
	OffsetMs float64 `json:"offsetMs"`
	// UncertaintyMs is the uncertainty of the offset, in milliseconds. The order of two
	// events of different VMs that are closer together than their uncertainties is
	// unknown.
	UncertaintyMs float64 `json:"uncertaintyMs"`
	// Event is the event as recorded.
	Event event.Event `json:"event"`
}

// Merge returns the events of all samples, ordered by corrected time. Events of one
// sample keep the order in which the VM recorded them, also if its wall clock was set
// back between them.
func Merge(samples []adminclient.Sample) []Row {
	var rows []Row
	for _, s := range samples {
		rows = append(rows, sampleRows(s)...)
	}
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].At.Before(rows[j].At) })
	return rows
}

// sampleRows returns the rows of one sample with times that never decrease.
func sampleRows(s adminclient.Sample) []Row {
	offset, uncertainty := s.Offset()
	rows := make([]Row, 0, len(s.Page.Events))
	var latest time.Time
	for _, e := range s.Page.Events {
		at := e.Wall.Add(-offset)
		if at.Before(latest) {
			at = latest
		}
		latest = at
		rows = append(rows, Row{At: at, OffsetMs: milliseconds(offset), UncertaintyMs: milliseconds(uncertainty), Event: e})
	}
	return rows
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// Filter selects rows. An empty field accepts all rows.
type Filter struct {
	// Subject is a text that the subject or detail of the event has to contain.
	Subject string
	// Kinds lists the names of the accepted event kinds.
	Kinds []string
}

// Match reports whether the filter accepts a row.
func (f Filter) Match(r Row) bool {
	if f.Subject != "" && !strings.Contains(r.Event.Subject, f.Subject) && !strings.Contains(r.Event.Detail, f.Subject) {
		return false
	}
	if len(f.Kinds) == 0 {
		return true
	}
	for _, k := range f.Kinds {
		if k == r.Event.Kind.String() {
			return true
		}
	}
	return false
}

// Select returns the rows that f accepts.
func Select(rows []Row, f Filter) []Row {
	var out []Row
	for _, r := range rows {
		if f.Match(r) {
			out = append(out, r)
		}
	}
	return out
}

// WriteTable writes rows as a table with aligned columns.
func WriteTable(w io.Writer, rows []Row) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "TIME\tVM\tOFFSET MS\tTICKET\tEVENT\tSUBJECT\tDETAIL")
	for _, r := range rows {
		fmt.Fprintf(tw, "%s\t%s\t%+.1f±%.1f\t%d\t%s\t%s\t%s\n",
			r.At.Format("15:04:05.000"), r.Event.VM, r.OffsetMs, r.UncertaintyMs,
			r.Event.Ticket, r.Event.Kind, r.Event.Subject, r.Event.Detail)
	}
	return tw.Flush()
}
