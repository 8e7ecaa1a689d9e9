package document

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"
)

// SplitWorkspaces divides workspaces, in their order, into documents of at most
// limit bytes. The documents are named base, base-2, base-3 and so on, where base
// begins with workspaces/.
func SplitWorkspaces(base string, all []Workspace, limit int) (Content, error) {
	return split(base, all, limit, func(part []Workspace) any {
		return Workspaces{Kind: "workspaces", Workspaces: part}
	})
}

// SplitRoutes divides routes in the same way as SplitWorkspaces; base begins with
// routes/.
func SplitRoutes(base string, all []Route, limit int) (Content, error) {
	return split(base, all, limit, func(part []Route) any {
		return Routes{Kind: "routes", Routes: part}
	})
}

// split puts as many entries into each document as the limit allows. It returns an
// error when a single entry exceeds the limit.
func split[E any](base string, all []E, limit int, wrap func([]E) any) (Content, error) {
	if !isDocumentName(base) {
		return nil, trace.BadParameter("unknown document name %q", base)
	}
	empty, err := json.Marshal(wrap([]E{}))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	out := Content{}
	flush := func(part []E) error {
		raw, err := json.Marshal(wrap(part))
		if err != nil {
			return trace.Wrap(err)
		}
		name := base
		if len(out) > 0 {
			name = fmt.Sprintf("%s-%d", base, len(out)+1)
		}
		out[name] = raw
		return nil
	}
	start, size := 0, len(empty)
	for i := range all {
		raw, err := json.Marshal(all[i])
		if err != nil {
			return nil, trace.Wrap(err)
		}
		entry := len(raw) + 1
		if len(empty)+entry > limit {
			return nil, trace.LimitExceeded("entry %d of %s has %d bytes, the limit of a document is %d", i, base, len(raw), limit)
		}
		if size+entry > limit {
			if err := flush(all[start:i]); err != nil {
				return nil, err
			}
			start, size = i, len(empty)
		}
		size += entry
	}
	return out, flush(append([]E{}, all[start:]...))
}
