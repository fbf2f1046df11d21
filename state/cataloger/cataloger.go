// Package cataloger holds the validated configuration objects in an immutable
// data structure that requests read without locks. Versions share structure, so
// the cost of a change depends on the size of the change, not of the catalog.
package cataloger

import (
	"strings"

	"github.com/benbjohnson/immutable"
)

// Catalog is one immutable version of the configuration.
type Catalog struct {
	// version is 0 before the first publication. Within a process it never falls.
	version uint64
	// id identifies the publication that created the version.
	id string
	// asOf is the log offset up to which version is known to be the newest, -1 if unknown.
	asOf int64
	// The maps of objects are keyed by the objects' names.
	services *immutable.Map[string, Service]
	servers  *immutable.Map[string, BackendServer]
	routes   *immutable.Map[string, Route]
	policies *immutable.Map[string, Policy]
	limits   Limits
	// customers is keyed by name, and keys maps each key to the name of the customer that
	// holds it. If several customers list the same key, the first one holds it.
	customers *immutable.Map[string, Customer]
	keys      *immutable.Map[string, string]
	// paths maps a host and a path prefix without trailing slash to a route's name.
	// If several routes have the same host and prefix, the first one keeps them.
	paths *immutable.Map[string, *immutable.Map[string, string]]
	// references maps the key of an object to the number of objects that refer to
	// it. Counts of 0 are removed.
	references *immutable.Map[string, int]
}

// New returns an empty catalog with version 0.
func New() Catalog {
	return Catalog{
		asOf:       -1,
		services:   immutable.NewMap[string, Service](nil),
		servers:    immutable.NewMap[string, BackendServer](nil),
		routes:     immutable.NewMap[string, Route](nil),
		policies:   immutable.NewMap[string, Policy](nil),
		limits:     DefaultLimits(),
		customers:  immutable.NewMap[string, Customer](nil),
		keys:       immutable.NewMap[string, string](nil),
		paths:      immutable.NewMap[string, *immutable.Map[string, string]](nil),
		references: immutable.NewMap[string, int](nil),
	}
}

// Version returns the version number of the configuration.
func (c Catalog) Version() uint64 { return c.version }

// ID returns the ID of the publication that created the version.
func (c Catalog) ID() string { return c.id }

// AsOf returns the log offset up to which the version is known to be the newest.
func (c Catalog) AsOf() int64 { return c.asOf }

// Len returns the number of services, backend servers, routes, policies and customers.
func (c Catalog) Len() int {
	return c.services.Len() + c.servers.Len() + c.routes.Len() + c.policies.Len() + c.customers.Len()
}

// WithVersion returns the catalog with the given version, publication ID and log offset.
func (c Catalog) WithVersion(version uint64, id string, asOf int64) Catalog {
	c.version = version
	c.id = id
	c.asOf = asOf
	return c
}

// WithAsOf returns the catalog known to be the newest up to a log offset. A lower
// offset than the known one changes nothing.
func (c Catalog) WithAsOf(asOf int64) Catalog {
	c.asOf = max(c.asOf, asOf)
	return c
}

// WithObjects returns the catalog with the objects added, replacing those of the
// same kind and name. Limits replace the current ones whatever their name.
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
	for _, customer := range objects.Customers {
		c = c.withoutCustomer(customer.Name)
	}
	for _, customer := range objects.Customers {
		c = c.withCustomer(customer)
	}
	return c
}

// WithoutObjects returns the catalog without the named objects.
func (c Catalog) WithoutObjects(keys []Key) Catalog {
	for _, key := range keys {
		c = c.withoutObject(key)
	}
	return c
}

func (c Catalog) withoutObject(key Key) Catalog {
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
	case KindCustomer:
		return c.withoutCustomer(key.Name)
	}
	return c
}

func (c Catalog) withCustomer(customer Customer) Catalog {
	c.customers = c.customers.Set(customer.Name, customer)
	for _, key := range customer.Keys {
		if _, taken := c.keys.Get(key); !taken {
			c.keys = c.keys.Set(key, customer.Name)
		}
	}
	return c
}

func (c Catalog) withoutCustomer(name string) Catalog {
	old, ok := c.customers.Get(name)
	if !ok {
		return c
	}
	c.customers = c.customers.Delete(name)
	for _, key := range old.Keys {
		if holder, _ := c.keys.Get(key); holder == name {
			c.keys = c.keys.Delete(key)
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
	prefix := trimSlash(route.PathPrefix)
	if _, taken := prefixes.Get(prefix); !taken {
		c.paths = c.paths.Set(route.Host, prefixes.Set(prefix, route.Name))
	}
	return c.withTargetReferences(route, 1)
}

func (c Catalog) withTargetReferences(route Route, delta int) Catalog {
	for _, service := range route.Targets() {
		c = c.withReference(KindService, service, delta)
	}
	return c
}

func (c Catalog) withoutRoute(name string) Catalog {
	old, ok := c.routes.Get(name)
	if !ok {
		return c
	}
	c.routes = c.routes.Delete(name)
	prefix := trimSlash(old.PathPrefix)
	prefixes, _ := c.paths.Get(old.Host)
	if owner, _ := prefixes.Get(prefix); owner == name {
		c.paths = c.paths.Set(old.Host, prefixes.Delete(prefix))
	}
	return c.withTargetReferences(old, -1)
}

// withReference adds delta to the number of references to an object.
func (c Catalog) withReference(kind Kind, name string, delta int) Catalog {
	key := Key{Kind: kind, Name: name}.String()
	count, _ := c.references.Get(key)
	count += delta
	if count == 0 {
		c.references = c.references.Delete(key)
		return c
	}
	c.references = c.references.Set(key, count)
	return c
}

func trimSlash(prefix string) string {
	return strings.TrimSuffix(prefix, "/")
}

// Match returns the route with the longest path prefix that begins the path, in whole
// segments. Routes of the host take precedence over routes without a host.
func (c Catalog) Match(host, path string) (Route, bool) {
	if prefixes, ok := c.paths.Get(host); ok {
		if route, ok := c.matchPrefix(prefixes, path); ok {
			return route, true
		}
	}
	prefixes, ok := c.paths.Get("")
	if !ok || host == "" {
		return Route{}, false
	}
	return c.matchPrefix(prefixes, path)
}

func (c Catalog) matchPrefix(prefixes *immutable.Map[string, string], path string) (Route, bool) {
	for prefix := trimSlash(path); ; {
		if name, ok := prefixes.Get(prefix); ok {
			// A prefix with a trailing slash does not begin the path that lacks it.
			if route, ok := c.routes.Get(name); ok && strings.HasPrefix(path, route.PathPrefix) {
				return route, true
			}
		}
		cut := strings.LastIndexByte(prefix, '/')
		if cut < 0 {
			return Route{}, false
		}
		prefix = prefix[:cut]
	}
}

// Limits returns the limits on callers' requests and connections.
func (c Catalog) Limits() Limits { return c.limits }

// HasCustomers reports whether there is any customer, so that requests need a key.
func (c Catalog) HasCustomers() bool { return c.customers.Len() > 0 }

// Customer returns the named customer.
func (c Catalog) Customer(name string) (Customer, bool) { return c.customers.Get(name) }

// KeyHolder returns the customer that holds a key.
func (c Catalog) KeyHolder(key string) (Customer, bool) {
	name, ok := c.keys.Get(key)
	if !ok {
		return Customer{}, false
	}
	return c.customers.Get(name)
}

// Service returns the named service.
func (c Catalog) Service(name string) (Service, bool) { return c.services.Get(name) }

// Server returns the named backend server object.
func (c Catalog) Server(name string) (BackendServer, bool) { return c.servers.Get(name) }

// Policy returns the named policy.
func (c Catalog) Policy(name string) (Policy, bool) { return c.policies.Get(name) }

// PolicyOf returns the policy of the named service.
func (c Catalog) PolicyOf(service string) (Policy, bool) {
	found, ok := c.services.Get(service)
	if !ok {
		return Policy{}, false
	}
	return c.Policy(found.Policy)
}
