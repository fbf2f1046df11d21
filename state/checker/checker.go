// Package checker decodes YAML documents into structs, sets defaults, validates
// bounds, and reports every fault with file, line and field.
package checker

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/creasty/defaults"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxTextBytes is the maximum length of one file or log record.
const MaxTextBytes = 64 << 20

// Fault is one error in a file.
type Fault struct {
	File string
	// Line counts from 1; 0 means that the fault can't be attributed to a line.
	Line int
	// Field is the name of the field in the file, empty for a syntax error.
	Field  string
	Reason string
}

// Error returns the fault in one line.
func (f Fault) Error() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", place, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", place, f.Field, f.Reason)
}

// Faults is an error that consists of several faults.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Checker decodes and validates documents.
type Checker struct {
	validate *validator.Validate
}

// New returns a checker.
func New() *Checker {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(yamlFieldName)
	return &Checker{validate: validate}
}

func yamlFieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

// Documents parses a text and returns its non-empty YAML documents.
func (c *Checker) Documents(file string, text []byte) (docs []ast.Node, err error) {
	if len(text) > MaxTextBytes {
		reason := fmt.Sprintf("is %d bytes long, above the limit of %d", len(text), MaxTextBytes)
		return nil, Faults{{File: file, Reason: reason}}
	}
	defer func() {
		if recover() != nil {
			docs, err = nil, Faults{{File: file, Reason: "cannot be read as YAML"}}
		}
	}()
	parsed, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, Faults{syntaxFault(file, err)}
	}
	for _, doc := range parsed.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.NullType || doc.Body.Type() == ast.CommentType {
			continue
		}
		docs = append(docs, doc.Body)
	}
	return docs, nil
}

// Decode sets the defaults in target, a pointer to a struct, decodes a document
// into it, and checks the bounds of its fields.
func (c *Checker) Decode(file string, node ast.Node, target any) (err error) {
	defer func() {
		if recover() != nil {
			err = Faults{{File: file, Line: Line(node, ""), Reason: "cannot be read as YAML"}}
		}
	}()
	if err := rejectAliases(file, node); err != nil {
		return err
	}
	if err := defaults.Set(target); err != nil {
		return fmt.Errorf("setting defaults: %w", err)
	}
	if err := yaml.NodeToValue(node, target, yaml.Strict()); err != nil {
		return Faults{withField(syntaxFault(file, err), node)}
	}
	return c.checkBounds(file, node, target)
}

func (c *Checker) checkBounds(file string, node ast.Node, target any) error {
	err := c.validate.Struct(target)
	if err == nil {
		return nil
	}
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return fmt.Errorf("checking bounds: %w", err)
	}
	faults := make(Faults, 0, len(violations))
	for _, rule := range violations {
		_, path, _ := strings.Cut(rule.Namespace(), ".")
		faults = append(faults, Fault{
			File:   file,
			Line:   Line(node, path),
			Field:  path,
			Reason: describeRule(rule),
		})
	}
	return faults
}

func describeRule(rule validator.FieldError) string {
	switch rule.Tag() {
	case "required":
		return "must be given"
	case "min":
		return describeSize(rule) + " is below the minimum of " + rule.Param()
	case "max":
		return describeSize(rule) + " is above the maximum of " + rule.Param()
	case "startswith":
		return fmt.Sprintf("%q does not start with %q", rule.Value(), rule.Param())
	case "hostname_port":
		return fmt.Sprintf("%q is not an address of the form IP:port", rule.Value())
	case "oneof":
		return fmt.Sprintf("%q is not one of %s", rule.Value(), rule.Param())
	default:
		return fmt.Sprintf("%v violates the rule %s %s", rule.Value(), rule.Tag(), rule.Param())
	}
}

// describeSize returns a number, or the length of a text or list, whose content may be secret.
func describeSize(rule validator.FieldError) string {
	switch rule.Kind() {
	case reflect.String, reflect.Slice:
		return fmt.Sprintf("length %d", reflect.ValueOf(rule.Value()).Len())
	default:
		return fmt.Sprint(rule.Value())
	}
}

func syntaxFault(file string, err error) Fault {
	var located yaml.Error
	if !errors.As(err, &located) {
		return Fault{File: file, Reason: firstLine(err.Error())}
	}
	fault := Fault{File: file, Reason: firstLine(located.GetMessage())}
	if token := located.GetToken(); token != nil {
		fault.Line = token.Position.Line
	}
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) && unknown.Token != nil {
		fault.Field = unknown.Token.Value
	}
	return fault
}

// withField adds the field to a fault that lacks it: the field on the fault's line
// or, if the fault has no line, the field whose value the reason quotes.
func withField(fault Fault, node ast.Node) Fault {
	mapping, ok := node.(*ast.MappingNode)
	if !ok || fault.Field != "" {
		return fault
	}
	for _, value := range mapping.Values {
		token := value.Value.GetToken()
		if token == nil {
			continue
		}
		onLine := fault.Line > 0 && token.Position.Line == fault.Line
		quoted := fault.Line == 0 && strings.Contains(fault.Reason, strconv.Quote(token.Value))
		if onLine || quoted {
			fault.Line = token.Position.Line
			fault.Field = value.Key.String()
			return fault
		}
	}
	return fault
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// Line returns the line of a field in a document. If the field is missing, it
// returns the line of the nearest enclosing field, or else of the document.
func Line(node ast.Node, field string) int {
	for path := field; path != ""; {
		if line := lineOf(node, path); line > 0 {
			return line
		}
		cut := strings.LastIndexByte(path, '.')
		path = path[:max(cut, 0)]
	}
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		return mapping.Values[0].Key.GetToken().Position.Line
	}
	if token := node.GetToken(); token != nil {
		return token.Position.Line
	}
	return 0
}

func lineOf(node ast.Node, field string) int {
	path, err := yaml.PathString("$." + field)
	if err != nil {
		return 0
	}
	found, err := path.FilterNode(node)
	if err != nil || found == nil || found.GetToken() == nil {
		return 0
	}
	return found.GetToken().Position.Line
}

// aliasFinder holds the line of the first anchor or alias in a document, 0 if
// there is none.
type aliasFinder struct{ line int }

// Visit records the line of the first anchor or alias.
func (f *aliasFinder) Visit(node ast.Node) ast.Visitor {
	kind := node.Type()
	if (kind == ast.AnchorType || kind == ast.AliasType) && f.line == 0 {
		f.line = node.GetToken().Position.Line
	}
	return f
}

func rejectAliases(file string, node ast.Node) error {
	finder := &aliasFinder{}
	ast.Walk(finder, node)
	if finder.line == 0 {
		return nil
	}
	return Faults{{File: file, Line: finder.line, Reason: "anchors and aliases are not supported"}}
}
