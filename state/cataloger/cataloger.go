// Package cataloger holds the checked set of configuration objects as an
// immutable value that requests read without locks. Versions share structure,
// so that a change costs in proportion to its own size.
package cataloger

import (
	"strings"

	"github.com/benbjohnson/immutable"
)

// Catalog is one version of the configuration. It is never changed once built.
type Catalog struct {
	// version is 0 before the first publication and only rises at a process.
	version uint64
	// id is the publication that made the version.
	id string
	// asOf is the highest log offset up to which version is known to be the head, -1 when none.
	asOf int64
	// Each map holds an object under its own Name.
	services *immutable.Map[string, Service]
	servers  *immutable.Map[string, BackendServer]
	routes   *immutable.Map[string, Route]
	policies *immutable.Map[string, Policy]
	limits   Limits
	// paths maps host, then path prefix without a trailing slash, to the route's name.
	// The first route of a place keeps it.
	paths *immutable.Map[string, *immutable.Map[string, string]]
	// references counts the objects that name an object. No count is 0.
	references *immutable.Map[string, int]
}

// New returns the empty catalog, version 0.
func New() Catalog {
	return Catalog{
		asOf:       -1,
		services:   immutable.NewMap[string, Service](nil),
		servers:    immutable.NewMap[string, BackendServer](nil),
		routes:     immutable.NewMap[string, Route](nil),
		policies:   immutable.NewMap[string, Policy](nil),
		limits:     DefaultLimits(),
		paths:      immutable.NewMap[string, *immutable.Map[string, string]](nil),
		references: immutable.NewMap[string, int](nil),
	}
}

// Version returns the version number.
func (c Catalog) Version() uint64 { return c.version }

// ID returns the publication that made the version.
func (c Catalog) ID() string { return c.id }

// AsOf returns the log offset up to which the version is known to be the head.
func (c Catalog) AsOf() int64 { return c.asOf }

// Len counts the objects of all kinds.
func (c Catalog) Len() int {
	return c.services.Len() + c.servers.Len() + c.routes.Len() + c.policies.Len()
}

// WithVersion returns the catalog under another version, publication and log offset.
func (c Catalog) WithVersion(version uint64, id string, asOf int64) Catalog {
	c.version = version
	c.id = id
	c.asOf = asOf
	return c
}

// WithAsOf returns the catalog known to be the head up to a later log offset.
func (c Catalog) WithAsOf(asOf int64) Catalog {
	c.asOf = max(c.asOf, asOf)
	return c
}

// WithObjects returns the catalog with the objects added or replaced by name.
func (c Catalog) WithObjects(objects Objects) Catalog {
	for _, service := range objects.Services {
		c = c.withService(service)
	}
	for _, server := range objects.Servers {
		c = c.withServer(server)
	}
	for _, policy := range objects.Policies {
		c.policies = c.policies.Set(policy.Name, policy)
	}
	for _, limits := range objects.Limits {
		c.limits = limits
	}
	for _, route := range objects.Routes {
		c = c.withoutRoute(route.Name)
	}
	for _, route := range objects.Routes {
		c = c.withRoute(route)
	}
	return c
}

// WithoutObjects returns the catalog without the named objects.
func (c Catalog) WithoutObjects(keys []Key) Catalog {
	for _, key := range keys {
		c = c.without(key)
	}
	return c
}

func (c Catalog) without(key Key) Catalog {
	switch key.Kind {
	case KindService:
		return c.withoutService(key.Name)
	case KindBackendServer:
		return c.withoutServer(key.Name)
	case KindRoute:
		return c.withoutRoute(key.Name)
	case KindPolicy:
		c.policies = c.policies.Delete(key.Name)
	case KindLimits:
		if c.limits.Name == key.Name {
			c.limits = DefaultLimits()
		}
	}
	return c
}

func (c Catalog) withService(service Service) Catalog {
	c = c.withoutService(service.Name)
	c.services = c.services.Set(service.Name, service)
	return c.withReference(KindPolicy, service.Policy, 1)
}

func (c Catalog) withoutService(name string) Catalog {
	old, ok := c.services.Get(name)
	if !ok {
		return c
	}
	c.services = c.services.Delete(name)
	return c.withReference(KindPolicy, old.Policy, -1)
}

func (c Catalog) withServer(server BackendServer) Catalog {
	c = c.withoutServer(server.Name)
	c.servers = c.servers.Set(server.Name, server)
	return c.withReference(KindService, server.Service, 1)
}

func (c Catalog) withoutServer(name string) Catalog {
	old, ok := c.servers.Get(name)
	if !ok {
		return c
	}
	c.servers = c.servers.Delete(name)
	return c.withReference(KindService, old.Service, -1)
}

func (c Catalog) withRoute(route Route) Catalog {
	c = c.withoutRoute(route.Name)
	c.routes = c.routes.Set(route.Name, route)
	prefixes, ok := c.paths.Get(route.Host)
	if !ok {
		prefixes = immutable.NewMap[string, string](nil)
	}
	place := trimmed(route.PathPrefix)
	if _, taken := prefixes.Get(place); !taken {
		c.paths = c.paths.Set(route.Host, prefixes.Set(place, route.Name))
	}
	return c.withTargets(route, 1)
}

func (c Catalog) withTargets(route Route, change int) Catalog {
	for _, service := range route.Targets() {
		c = c.withReference(KindService, service, change)
	}
	return c
}

func (c Catalog) withoutRoute(name string) Catalog {
	old, ok := c.routes.Get(name)
	if !ok {
		return c
	}
	c.routes = c.routes.Delete(name)
	place := trimmed(old.PathPrefix)
	prefixes, _ := c.paths.Get(old.Host)
	if owner, _ := prefixes.Get(place); owner == name {
		c.paths = c.paths.Set(old.Host, prefixes.Delete(place))
	}
	return c.withTargets(old, -1)
}

func (c Catalog) withReference(kind Kind, name string, change int) Catalog {
	key := Key{Kind: kind, Name: name}.String()
	count, _ := c.references.Get(key)
	count += change
	if count == 0 {
		c.references = c.references.Delete(key)
		return c
	}
	c.references = c.references.Set(key, count)
	return c
}

func trimmed(prefix string) string {
	return strings.TrimSuffix(prefix, "/")
}

// Match returns the route with the longest path prefix, first under the host,
// then under no host.
func (c Catalog) Match(host, path string) (Route, bool) {
	if prefixes, ok := c.paths.Get(host); ok {
		if route, ok := c.matchIn(prefixes, path); ok {
			return route, true
		}
	}
	prefixes, ok := c.paths.Get("")
	if !ok || host == "" {
		return Route{}, false
	}
	return c.matchIn(prefixes, path)
}

func (c Catalog) matchIn(prefixes *immutable.Map[string, string], path string) (Route, bool) {
	for prefix := trimmed(path); ; {
		if name, ok := prefixes.Get(prefix); ok {
			return c.routes.Get(name)
		}
		cut := strings.LastIndexByte(prefix, '/')
		if cut < 0 {
			return Route{}, false
		}
		prefix = prefix[:cut]
	}
}

// Limits returns the bounds of what callers may send.
func (c Catalog) Limits() Limits { return c.limits }

// Service returns the named service.
func (c Catalog) Service(name string) (Service, bool) { return c.services.Get(name) }

// Server returns the named backend server object.
func (c Catalog) Server(name string) (BackendServer, bool) { return c.servers.Get(name) }

// Policy returns the named policy.
func (c Catalog) Policy(name string) (Policy, bool) { return c.policies.Get(name) }

// PolicyOf returns the policy that steers a service.
func (c Catalog) PolicyOf(service string) (Policy, bool) {
	found, ok := c.services.Get(service)
	if !ok {
		return Policy{}, false
	}
	return c.Policy(found.Policy)
}
