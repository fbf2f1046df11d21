// Package reviewer finds what is wrong, or without effect, in a configuration before it is sent, and compares it with
// the version in force.
package reviewer

import (
	"fmt"

	"github.com/foxtailhall/foxtailhall/state/cataloger"
)

// Class is the kind of a finding.
type Class string

// Classes of findings.
const (
	// ClassError is a fault for which processes refuse the configuration.
	ClassError Class = "Error"
	// ClassNeverMatches is an entry that no request can match.
	ClassNeverMatches Class = "NeverMatches"
	// ClassContradiction is a limit that another one contradicts.
	ClassContradiction Class = "Contradiction"
)

// Finding is a fault of a configuration with its class.
type Finding struct {
	Class Class
	Fault cataloger.Fault
}

// Review returns the findings of a configuration, the errors first. memoryLimit is the memory of a process in bytes,
// 0 if it is not known.
func Review(catalog cataloger.Catalog, memoryLimit int64) []Finding {
	var findings []Finding
	add := func(class Class, faults []cataloger.Fault) {
		for _, fault := range faults {
			findings = append(findings, Finding{Class: class, Fault: fault})
		}
	}
	objects := catalog.Objects()
	add(ClassError, catalog.Faults())
	add(ClassNeverMatches, unusedShares(objects.Routes))
	add(ClassNeverMatches, unusedServices(objects))
	add(ClassNeverMatches, customersWithoutKey(objects.Customers))
	add(ClassContradiction, lateObjectives(objects.Routes))
	add(ClassContradiction, smallBursts(objects.Customers))
	add(ClassContradiction, largeBodies(catalog.Limits(), memoryLimit))
	return findings
}

// unusedShares finds the shares of routes that get no request.
func unusedShares(routes []cataloger.Route) []cataloger.Fault {
	var faults []cataloger.Fault
	for _, route := range routes {
		for i, share := range route.Split {
			if share.Weight == 0 {
				faults = append(faults, cataloger.Fault{
					Key: cataloger.Key{Kind: cataloger.KindRoute, Name: route.Name}, Field: fmt.Sprintf("Split[%d].Weight", i),
					Reason: fmt.Sprintf("is 0, so Service %q gets no request of this route", share.Service),
				})
			}
		}
	}
	return faults
}

// unusedServices finds the services that no route names.
func unusedServices(objects cataloger.Objects) []cataloger.Fault {
	used := map[string]bool{}
	for _, route := range objects.Routes {
		for _, service := range route.Targets() {
			used[service] = true
		}
	}
	var faults []cataloger.Fault
	for _, service := range objects.Services {
		if !used[service.Name] {
			faults = append(faults, cataloger.Fault{
				Key: cataloger.Key{Kind: cataloger.KindService, Name: service.Name}, Field: "Name",
				Reason: "no Route names this Service",
			})
		}
	}
	return faults
}

func customersWithoutKey(customers []cataloger.Customer) []cataloger.Fault {
	var faults []cataloger.Fault
	for _, customer := range customers {
		if len(customer.Keys) == 0 {
			faults = append(faults, cataloger.Fault{
				Key: cataloger.Key{Kind: cataloger.KindCustomer, Name: customer.Name}, Field: "Keys",
				Reason: "is empty, so no request is the customer's",
			})
		}
	}
	return faults
}

func lateObjectives(routes []cataloger.Route) []cataloger.Fault {
	var faults []cataloger.Fault
	for _, route := range routes {
		if route.TimeLimit > 0 && route.Objective > route.TimeLimit {
			faults = append(faults, cataloger.Fault{
				Key: cataloger.Key{Kind: cataloger.KindRoute, Name: route.Name}, Field: "Objective",
				Reason: fmt.Sprintf("%s is beyond the TimeLimit of %s", route.Objective, route.TimeLimit),
			})
		}
	}
	return faults
}

// smallBursts finds bursts below one request. Where Rate and Burst together are below one, the catalog finds an error.
func smallBursts(customers []cataloger.Customer) []cataloger.Fault {
	var faults []cataloger.Fault
	for _, customer := range customers {
		if customer.Burst > 0 && customer.Burst < 1 && customer.Rate+customer.Burst >= 1 {
			faults = append(faults, cataloger.Fault{
				Key: cataloger.Key{Kind: cataloger.KindCustomer, Name: customer.Name}, Field: "Burst",
				Reason: fmt.Sprintf("%v is below one request", customer.Burst),
			})
		}
	}
	return faults
}

func largeBodies(limits cataloger.Limits, memoryLimit int64) []cataloger.Fault {
	if memoryLimit == 0 || limits.BodyBytes <= memoryLimit {
		return nil
	}
	return []cataloger.Fault{{
		Key: cataloger.Key{Kind: cataloger.KindLimits, Name: limits.Name}, Field: "BodyBytes",
		Reason: fmt.Sprintf("%d is above the %d bytes of memory of a process", limits.BodyBytes, memoryLimit),
	}}
}
