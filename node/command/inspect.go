package command

import (
	"bytes"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/invariant"
)

// inspect asserts on the bytes of the request header, as they are about to be
// written, that they hold no key and name only the workspace of the key.
func (a *attempt) checkHeader(header []byte, last bool) error {
	ex := a.exchange
	if ex.key != "" && bytes.Contains(header, []byte(ex.key)) {
		return a.reportKeyViolation("the header for the target contains the key")
	}
	if !last {
		return nil
	}
	name := ex.h.cfg.Dialect.Workspace
	named := bytes.Count(header, []byte("\r\n"+name+": "))
	if ex.workspace == nil && named == 0 {
		return nil
	}
	line := []byte("\r\n" + name + ": " + ex.workspaceID() + "\r\n")
	if named != 1 || !bytes.Contains(header, line) {
		return a.reportKeyViolation("the header for the target does not name the workspace of the key")
	}
	return nil
}

func (a *attempt) reportKeyViolation(detail string) error {
	a.exchange.h.cfg.Events.Violated(invariant.Key, a.exchange.id, detail)
	return fault.New(fault.Internal, "the request was withheld: %s", detail)
}
