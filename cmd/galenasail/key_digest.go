package main

import (
	"bufio"
	"strings"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/galenasail/galenasail/core/document"
)

func newKeyCommand() *cobra.Command {
	return newGroupCommand("key", "Work with workspace keys", newKeyDigestCommand())
}

func newKeyDigestCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "digest",
		Short: "Print the digest of a key as configuration documents store it",
		Long: "Read a key from the first line of standard input and print its digest. The key is\n" +
			"not an argument, because other users of the machine can read process arguments.",
		Example: "  galenasail key digest < key.txt",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			scanner := bufio.NewScanner(c.InOrStdin())
			if !scanner.Scan() {
				return trace.BadParameter("standard input contains no key")
			}
			key := strings.TrimSpace(scanner.Text())
			if key == "" {
				return trace.BadParameter("the key on the first line of standard input is empty")
			}
			digest := document.KeyDigest(key)
			out := table{header: []string{"DIGEST"}}
			out.add(digest)
			return printResult(c, struct {
				Digest string `json:"digest"`
			}{digest}, out)
		},
	}
}
