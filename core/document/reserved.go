package document

import "strings"

// reservedPrefix is the prefix of the paths that VMs answer themselves on their caller
// address, in deployments where callers ask there for the VMs to use.
const reservedPrefix = "/galenasail/"

// CheckReservedPaths returns a *ValidationError if a route has a reserved path prefix. It
// is checked before a ticket is published. VMs serve such a route, except for the paths
// that they answer themselves.
func (s *Snapshot) CheckReservedPaths() error {
	for _, r := range s.Routes {
		if strings.HasPrefix(r.PathPrefix, reservedPrefix) {
			return s.routeError(r, "pathPrefix", reservedPrefix+" is reserved")
		}
	}
	return nil
}
