package cataloger

import "fmt"

// Fault is one rule that an object violates.
type Fault struct {
	Key    Key
	Field  string
	Reason string
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Key, f.Field, f.Reason)
}

// Faults checks every object and returns the rules they violate, in a fixed order.
func (c Catalog) Faults() []Fault {
	return c.ChangeFaults(c.Objects(), nil)
}

// ChangeFaults checks the objects of one change and the remaining references to
// the objects that it removed. It is enough to check each change this way: a
// valid catalog stays valid if the change has no faults.
func (c Catalog) ChangeFaults(changed Objects, removed []Key) []Fault {
	faults := make([]Fault, 0, len(removed))
	for _, service := range changed.Services {
		faults = append(faults, c.serviceFaults(service)...)
	}
	for _, server := range changed.Servers {
		faults = append(faults, c.serverFaults(server)...)
	}
	for _, route := range changed.Routes {
		faults = append(faults, c.routeFaults(route)...)
	}
	for _, policy := range changed.Policies {
		faults = append(faults, policyFaults(policy)...)
	}
	for _, customer := range changed.Customers {
		faults = append(faults, c.customerFaults(customer)...)
	}
	for _, key := range removed {
		faults = append(faults, c.removalFaults(key)...)
	}
	return faults
}

func (c Catalog) serviceFaults(service Service) []Fault {
	if _, ok := c.policies.Get(service.Policy); ok {
		return nil
	}
	return []Fault{{
		Key:    Key{Kind: KindService, Name: service.Name},
		Field:  "Policy",
		Reason: fmt.Sprintf("no Policy is named %q", service.Policy),
	}}
}

func (c Catalog) serverFaults(server BackendServer) []Fault {
	if _, ok := c.services.Get(server.Service); ok {
		return nil
	}
	return []Fault{{
		Key:    Key{Kind: KindBackendServer, Name: server.Name},
		Field:  "Service",
		Reason: fmt.Sprintf("no Service is named %q", server.Service),
	}}
}

func (c Catalog) routeFaults(route Route) []Fault {
	var faults []Fault
	key := Key{Kind: KindRoute, Name: route.Name}
	for _, service := range route.Targets() {
		if _, ok := c.services.Get(service); !ok {
			reason := fmt.Sprintf("no Service is named %q", service)
			faults = append(faults, Fault{Key: key, Field: "Service", Reason: reason})
		}
	}
	if len(route.Split) > 0 && route.Service != "" {
		reason := "Service and Split cannot both be set"
		faults = append(faults, Fault{Key: key, Field: "Split", Reason: reason})
	}
	if route.Idempotent && route.NonIdempotent {
		reason := "Idempotent and NonIdempotent cannot both be set"
		faults = append(faults, Fault{Key: key, Field: "NonIdempotent", Reason: reason})
	}
	prefixes, _ := c.paths.Get(route.Host)
	first, _ := prefixes.Get(trimSlash(route.PathPrefix))
	if first != route.Name {
		reason := fmt.Sprintf("Route %q has the same Host and PathPrefix", first)
		faults = append(faults, Fault{Key: key, Field: "PathPrefix", Reason: reason})
	}
	return faults
}

// customerFaults names the place of a key that another customer holds, not the key itself.
func (c Catalog) customerFaults(customer Customer) []Fault {
	var faults []Fault
	key := Key{Kind: KindCustomer, Name: customer.Name}
	for i, secret := range customer.Keys {
		if holder, _ := c.keys.Get(secret); holder != customer.Name {
			reason := fmt.Sprintf("entry %d is also a key of Customer %q", i+1, holder)
			faults = append(faults, Fault{Key: key, Field: "Keys", Reason: reason})
		}
	}
	if customer.Rate > 0 && customer.Rate+customer.Burst < 1 {
		reason := "Rate and Burst together allow less than one request"
		faults = append(faults, Fault{Key: key, Field: "Burst", Reason: reason})
	}
	return faults
}

func policyFaults(policy Policy) []Fault {
	if policy.MaxEjectionTime >= policy.EjectionTime {
		return nil
	}
	return []Fault{{
		Key:    Key{Kind: KindPolicy, Name: policy.Name},
		Field:  "MaxEjectionTime",
		Reason: "is shorter than EjectionTime",
	}}
}

func (c Catalog) removalFaults(key Key) []Fault {
	count, _ := c.references.Get(key.String())
	if count == 0 || c.contains(key) {
		return nil
	}
	return []Fault{{
		Key:    key,
		Field:  "Name",
		Reason: fmt.Sprintf("cannot be removed while %d objects refer to it", count),
	}}
}

func (c Catalog) contains(key Key) bool {
	var ok bool
	switch key.Kind {
	case KindService:
		_, ok = c.services.Get(key.Name)
	case KindBackendServer:
		_, ok = c.servers.Get(key.Name)
	case KindRoute:
		_, ok = c.routes.Get(key.Name)
	case KindPolicy:
		_, ok = c.policies.Get(key.Name)
	case KindLimits:
		ok = c.limits.Name == key.Name
	case KindCustomer:
		_, ok = c.customers.Get(key.Name)
	}
	return ok
}
