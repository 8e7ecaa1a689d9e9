package command

import (
	"bytes"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/invariant"
)

// checkHeader verifies the bytes of the request header that are about to be written
// to the target: they must not contain the caller's key and must name only the
// workspace of that key. complete is true at the end of the header.
func (a *attempt) checkHeader(header []byte, complete bool) error {
	ex := a.exchange
	if ex.key != "" && bytes.Contains(header, []byte(ex.key)) {
		return a.reportKeyViolation("the request header for the target contains the caller's key")
	}
	if !complete {
		return nil
	}
	name := ex.h.cfg.Dialect.Workspace
	named := bytes.Count(header, []byte("\r\n"+name+": "))
	if ex.workspace == nil && named == 0 {
		return nil
	}
	line := []byte("\r\n" + name + ": " + ex.workspaceID() + "\r\n")
	if named != 1 || !bytes.Contains(header, line) {
		return a.reportKeyViolation("the request header for the target does not name the workspace of the key exactly once")
	}
	return nil
}

func (a *attempt) reportKeyViolation(detail string) error {
	a.exchange.h.cfg.Events.Violated(invariant.Key, a.exchange.id, detail)
	return fault.New(fault.Internal, "the request was not sent: %s", detail)
}
