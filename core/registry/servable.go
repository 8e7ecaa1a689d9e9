package registry

import "github.com/galenasail/galenasail/core/document"

// servable returns the configuration without the entries that cannot be served: the store
// has accepted it, and the other entries have to take effect.
func (c *Configuration) servable() *Configuration {
	entries := document.Entries{Services: c.Services, Workspaces: c.Workspaces, Routes: c.Routes}
	kept, excluded := entries.Servable()
	out := *c
	out.Services, out.Workspaces, out.Routes = kept.Services, kept.Workspaces, kept.Routes
	out.Excluded = append(out.Excluded[:len(out.Excluded):len(out.Excluded)], excluded...)
	return &out
}
