package cataloger

import (
	"cmp"
	"slices"
)

// Objects groups configuration objects by kind.
type Objects struct {
	Services []Service
	Servers  []BackendServer
	Routes   []Route
	Policies []Policy
	Limits   []Limits
	// Customers hold secret keys, which must not be logged.
	Customers []Customer
}

// Len returns the number of objects of all kinds.
func (o Objects) Len() int {
	return len(o.Services) + len(o.Servers) + len(o.Routes) + len(o.Policies) + len(o.Limits) + len(o.Customers)
}

// Objects returns all objects, each kind sorted by name. Default limits are left out.
func (c Catalog) Objects() Objects {
	return Objects{
		Services: c.sortedServices(),
		Servers:  c.sortedServers(),
		Routes:   c.sortedRoutes(),
		Policies: c.sortedPolicies(),
		Limits:   c.explicitLimits(),

		Customers: c.sortedCustomers(),
	}
}

// explicitLimits returns the published Limits object, if any. The default
// limits have no name.
func (c Catalog) explicitLimits() []Limits {
	if c.limits.Name == "" {
		return nil
	}
	return []Limits{c.limits}
}

func (c Catalog) sortedServices() []Service {
	all := make([]Service, 0, c.services.Len())
	for itr := c.services.Iterator(); !itr.Done(); {
		_, service, _ := itr.Next()
		all = append(all, service)
	}
	slices.SortFunc(all, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func (c Catalog) sortedServers() []BackendServer {
	all := make([]BackendServer, 0, c.servers.Len())
	for itr := c.servers.Iterator(); !itr.Done(); {
		_, server, _ := itr.Next()
		all = append(all, server)
	}
	slices.SortFunc(all, func(a, b BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func (c Catalog) sortedRoutes() []Route {
	all := make([]Route, 0, c.routes.Len())
	for itr := c.routes.Iterator(); !itr.Done(); {
		_, route, _ := itr.Next()
		all = append(all, route)
	}
	slices.SortFunc(all, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func (c Catalog) sortedPolicies() []Policy {
	all := make([]Policy, 0, c.policies.Len())
	for itr := c.policies.Iterator(); !itr.Done(); {
		_, policy, _ := itr.Next()
		all = append(all, policy)
	}
	slices.SortFunc(all, func(a, b Policy) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func (c Catalog) sortedCustomers() []Customer {
	all := make([]Customer, 0, c.customers.Len())
	for itr := c.customers.Iterator(); !itr.Done(); {
		_, customer, _ := itr.Next()
		all = append(all, customer)
	}
	slices.SortFunc(all, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
