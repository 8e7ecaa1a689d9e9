package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// Values of the flag --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func addOutputFlag(root *cobra.Command) {
	root.PersistentFlags().String("output", outputTable, "output format, table or json")
}

// table is the human-readable form of a result.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) {
	t.rows = append(t.rows, cells)
}

// printResult writes v as JSON or t as a table, depending on the flag --output.
func printResult(c *cobra.Command, v any, t table) error {
	asJSON, err := wantsJSON(c)
	if err != nil {
		return err
	}
	if asJSON {
		return writeJSON(c.OutOrStdout(), v)
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// wantsJSON reports whether the flag --output selects JSON. It returns a usage error
// for an unknown format.
func wantsJSON(c *cobra.Command) (bool, error) {
	format, err := c.Flags().GetString("output")
	if err != nil {
		return false, err
	}
	switch format {
	case outputJSON:
		return true, nil
	case outputTable:
		return false, nil
	default:
		return false, usageError("--output %q is neither table nor json", format)
	}
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
