// Package parser converts configuration objects from and to YAML documents.
package parser

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/checker"
)

// Source is the text of a file, or of a log record, with YAML documents.
type Source struct {
	File string
	Text []byte
}

// Parsed holds the objects of one or more sources.
type Parsed struct {
	Objects cataloger.Objects
	// positions maps every object to its place in the sources.
	positions map[cataloger.Key]position
}

type position struct {
	file string
	node ast.Node
}

// Parser reads configuration objects.
type Parser struct {
	checker *checker.Checker
}

// New returns a parser that validates documents with the given checker.
func New(checker *checker.Checker) *Parser {
	return &Parser{checker: checker}
}

// Parse reads all sources. Its error is a checker.Faults with every fault in them.
func (p *Parser) Parse(sources ...Source) (Parsed, error) {
	parsed := Parsed{positions: map[cataloger.Key]position{}}
	var faults checker.Faults
	for _, source := range sources {
		docs, err := p.checker.Documents(source.File, source.Text)
		if err != nil {
			faults = appendFaults(faults, source.File, err)
			continue
		}
		for _, doc := range docs {
			if err := p.parseObject(&parsed, source.File, doc); err != nil {
				faults = appendFaults(faults, source.File, err)
			}
		}
	}
	if len(faults) > 0 {
		return Parsed{}, faults
	}
	return parsed, nil
}

func appendFaults(faults checker.Faults, file string, err error) checker.Faults {
	var found checker.Faults
	if errors.As(err, &found) {
		return append(faults, found...)
	}
	return append(faults, checker.Fault{File: file, Reason: err.Error()})
}

func (p *Parser) parseObject(parsed *Parsed, file string, doc ast.Node) error {
	kind, err := kindOf(file, doc)
	if err != nil {
		return err
	}
	name, err := p.decode(parsed, kind, file, doc)
	if err != nil {
		return err
	}
	key := cataloger.Key{Kind: kind, Name: name}
	if first, ok := parsed.positions[key]; ok {
		return checker.Faults{{
			File:   file,
			Line:   checker.Line(doc, "Name"),
			Field:  "Name",
			Reason: fmt.Sprintf("%s is already defined at %s:%d", key, first.file, checker.Line(first.node, "Name")),
		}}
	}
	parsed.positions[key] = position{file: file, node: doc}
	return nil
}

func (p *Parser) decode(parsed *Parsed, kind cataloger.Kind, file string, doc ast.Node) (string, error) {
	switch kind {
	case cataloger.KindService:
		var service cataloger.Service
		if err := p.checker.Decode(file, doc, &service); err != nil {
			return "", err
		}
		parsed.Objects.Services = append(parsed.Objects.Services, service)
		return service.Name, nil
	case cataloger.KindBackendServer:
		var server cataloger.BackendServer
		if err := p.checker.Decode(file, doc, &server); err != nil {
			return "", err
		}
		parsed.Objects.Servers = append(parsed.Objects.Servers, server)
		return server.Name, nil
	case cataloger.KindRoute:
		var route cataloger.Route
		if err := p.checker.Decode(file, doc, &route); err != nil {
			return "", err
		}
		parsed.Objects.Routes = append(parsed.Objects.Routes, route)
		return route.Name, nil
	case cataloger.KindPolicy:
		var policy cataloger.Policy
		if err := p.checker.Decode(file, doc, &policy); err != nil {
			return "", err
		}
		parsed.Objects.Policies = append(parsed.Objects.Policies, policy)
		return policy.Name, nil
	case cataloger.KindLimits:
		var limits cataloger.Limits
		if err := p.checker.Decode(file, doc, &limits); err != nil {
			return "", err
		}
		parsed.Objects.Limits = append(parsed.Objects.Limits, limits)
		return limits.Name, nil
	case cataloger.KindCustomer:
		var customer cataloger.Customer
		if err := p.checker.Decode(file, doc, &customer); err != nil {
			return "", err
		}
		parsed.Objects.Customers = append(parsed.Objects.Customers, customer)
		return customer.Name, nil
	}
	reason := fmt.Sprintf("%q is not one of Service, BackendServer, Route, Policy, Limits, Customer", kind)
	return "", checker.Faults{{File: file, Line: checker.Line(doc, "Kind"), Field: "Kind", Reason: reason}}
}

func kindOf(file string, doc ast.Node) (cataloger.Kind, error) {
	if doc.Type() != ast.MappingType {
		return "", checker.Faults{{
			File:   file,
			Line:   checker.Line(doc, ""),
			Reason: "document is not an object with fields such as Kind and Name",
		}}
	}
	for _, value := range doc.(*ast.MappingNode).Values {
		if value.Key.String() == "Kind" {
			return kindValue(value), nil
		}
	}
	return "", checker.Faults{{
		File:   file,
		Line:   checker.Line(doc, ""),
		Field:  "Kind",
		Reason: "must be given",
	}}
}

func kindValue(value *ast.MappingValueNode) cataloger.Kind {
	if text, ok := value.Value.(*ast.StringNode); ok {
		return cataloger.Kind(text.Value)
	}
	return cataloger.Kind(value.Value.String())
}

// Locate adds file and line to the faults of a catalog. A fault of an object that
// is not in the sources gets the object's key in place of the file.
func (p Parsed) Locate(faults []cataloger.Fault) checker.Faults {
	located := make(checker.Faults, 0, len(faults))
	for _, fault := range faults {
		found, ok := p.positions[fault.Key]
		if !ok {
			located = append(located, checker.Fault{File: fault.Key.String(), Field: fault.Field, Reason: fault.Reason})
			continue
		}
		located = append(located, checker.Fault{
			File:   found.file,
			Line:   checker.Line(found.node, fault.Field),
			Field:  fault.Field,
			Reason: fault.Reason,
		})
	}
	return located
}

// Format encodes objects as YAML documents that Parse can read.
func Format(objects cataloger.Objects) (string, error) {
	var text []byte
	var err error
	for _, policy := range objects.Policies {
		text, err = appendDocument(text, policy, err)
	}
	for _, service := range objects.Services {
		text, err = appendDocument(text, service, err)
	}
	for _, server := range objects.Servers {
		text, err = appendDocument(text, server, err)
	}
	for _, route := range objects.Routes {
		text, err = appendDocument(text, route, err)
	}
	for _, limits := range objects.Limits {
		text, err = appendDocument(text, limits, err)
	}
	for _, customer := range objects.Customers {
		text, err = appendDocument(text, customer, err)
	}
	if err != nil {
		return "", fmt.Errorf("formatting objects: %w", err)
	}
	return string(text), nil
}

// appendDocument appends an encoded object, unless an earlier call failed.
func appendDocument(text []byte, object any, earlier error) ([]byte, error) {
	if earlier != nil {
		return text, earlier
	}
	document, err := yaml.Marshal(object)
	if err != nil {
		return text, fmt.Errorf("encoding an object: %w", err)
	}
	if len(text) > 0 {
		text = append(text, "---\n"...)
	}
	return append(text, document...), nil
}
