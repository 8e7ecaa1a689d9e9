package document

import (
	"fmt"
	"strings"
)

func (s *Snapshot) decodeError(name string, err error) error {
	field, reason := decodeProblem(err)
	return invalid(s.Index, name, field, reason)
}

// add adds one document to the snapshot. It decodes and validates the document,
// unless that was done for an earlier snapshot, and then merges it.
func (s *Snapshot) add(name string, raw []byte) error {
	switch {
	case name == "domains":
		d, err := parseDocument(s, name, raw, s.checkDomains)
		if err != nil {
			return err
		}
		return s.mergeDomains(name, d)
	case strings.HasPrefix(name, "services/"):
		v, err := parseDocument(s, name, raw, s.checkService)
		if err != nil {
			return err
		}
		return s.mergeService(name, v)
	case strings.HasPrefix(name, "workspaces/"):
		d, err := parseDocument(s, name, raw, s.checkWorkspaces)
		if err != nil {
			return err
		}
		return s.mergeWorkspaces(name, d)
	default:
		d, err := parseDocument(s, name, raw, s.checkRoutes)
		if err != nil {
			return err
		}
		s.mergeRoutes(d)
		return nil
	}
}

// parseDocument returns the decoded document, after validate accepted it.
func parseDocument[T any](s *Snapshot, name string, raw []byte, validate func(string, *T) error) (*T, error) {
	if d, ok := s.parsed[name].(*T); ok {
		return d, nil
	}
	d := new(T)
	if err := decode(raw, d); err != nil {
		return nil, s.decodeError(name, err)
	}
	if err := validate(name, d); err != nil {
		return nil, err
	}
	s.parsed[name] = d
	return d, nil
}

func (s *Snapshot) checkDomains(name string, d *Domains) error {
	if d.Kind != "domains" {
		return invalid(s.Index, name, "kind", "must be \"domains\"")
	}
	for i, fd := range d.Domains {
		field := fmt.Sprintf("domains[%d]", i)
		if fd.Name == "" {
			return invalid(s.Index, name, field+".name", "must not be empty")
		}
		if fd.State != DomainIn && fd.State != DomainOut {
			return invalid(s.Index, name, field+".state", fmt.Sprintf("got %q, want in or out", fd.State))
		}
	}
	return nil
}

func (s *Snapshot) mergeDomains(name string, d *Domains) error {
	for i, fd := range d.Domains {
		if _, dup := s.Domains[fd.Name]; dup {
			return invalid(s.Index, name, fmt.Sprintf("domains[%d].name", i), "duplicate "+fd.Name)
		}
		s.Domains[fd.Name] = fd.State
	}
	return nil
}

func (s *Snapshot) checkService(name string, v *Service) error {
	if field, reason := v.validate(); reason != "" {
		return invalid(s.Index, name, field, reason)
	}
	return nil
}

func (s *Snapshot) mergeService(name string, v *Service) error {
	if _, dup := s.Services[v.Name]; dup {
		return invalid(s.Index, name, "service", "duplicate "+v.Name)
	}
	s.Services[v.Name] = v
	return nil
}

func (s *Snapshot) checkWorkspaces(name string, d *Workspaces) error {
	if d.Kind != "workspaces" {
		return invalid(s.Index, name, "kind", "must be \"workspaces\"")
	}
	for i := range d.Workspaces {
		if sub, reason := d.Workspaces[i].validate(); reason != "" {
			return invalid(s.Index, name, fmt.Sprintf("workspaces[%d]%s", i, sub), reason)
		}
	}
	return nil
}

func (s *Snapshot) mergeWorkspaces(name string, d *Workspaces) error {
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		if _, dup := s.Workspaces[w.ID]; dup {
			return invalid(s.Index, name, fmt.Sprintf("workspaces[%d].id", i), "duplicate "+w.ID)
		}
		s.Workspaces[w.ID] = w
		for j, digest := range w.KeyDigests {
			if other, dup := s.byKey[digest]; dup {
				return invalid(s.Index, name, fmt.Sprintf("workspaces[%d].keyDigests[%d]", i, j), "key already belongs to "+other.ID)
			}
			s.byKey[digest] = w
		}
	}
	return nil
}

func (s *Snapshot) checkRoutes(name string, d *Routes) error {
	if d.Kind != "routes" {
		return invalid(s.Index, name, "kind", "must be \"routes\"")
	}
	for i := range d.Routes {
		if sub, reason := d.Routes[i].validate(); reason != "" {
			return invalid(s.Index, name, fmt.Sprintf("routes[%d]%s", i, sub), reason)
		}
	}
	return nil
}

func (s *Snapshot) mergeRoutes(d *Routes) {
	for i := range d.Routes {
		s.Routes = append(s.Routes, &d.Routes[i])
	}
	s.Excluded = append(s.Excluded, d.Excluded...)
}

// locate returns the document that defines a service or route, and the index of a
// route in it. It searches all documents, because it is needed for errors only.
func (s *Snapshot) locate(entry any) (document string, index int) {
	for _, e := range s.Index.Documents {
		switch d := s.parsed[e.Name].(type) {
		case *Service:
			if entry == any(d) {
				return e.Name, 0
			}
		case *Routes:
			for i := range d.Routes {
				if entry == any(&d.Routes[i]) {
					return e.Name, i
				}
			}
		}
	}
	return "", 0
}

// routeError returns a validation error for a field of a route.
func (s *Snapshot) routeError(r *Route, field, reason string) error {
	name, i := s.locate(r)
	return invalid(s.Index, name, fmt.Sprintf("routes[%d].%s", i, field), reason)
}
