package bbryaml

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// Positions tells where the fields of a document stand, by their path, such as
// "listen.callers".
type Positions map[string]string

// Of returns the place of a field, or of its nearest parent that is present.
func (p Positions) Of(path string) string {
	for parent := path; ; {
		if place, ok := p[parent]; ok {
			return place + " " + path
		}
		cut := strings.LastIndexByte(parent, '.')
		if cut < 0 {
			return path
		}
		parent = parent[:cut]
	}
}

// decoder collects places and faults.
type decoder struct {
	places Positions
	faults []*bbrcode.Error
}

// Decode fills out, a pointer to a struct with yaml tags, and returns where
// the fields stand and every fault.
func Decode(data []byte, out any) (Positions, []*bbrcode.Error) {
	d := &decoder{places: make(Positions)}
	var file *ast.File
	err := guarded(func() (err error) {
		file, err = parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
		return err
	})
	if err != nil {
		d.fault(bbrcode.SettingsSyntax, "", "%s", strings.TrimSpace(yaml.FormatError(err, false, false)))
		return d.places, d.faults
	}
	for _, document := range file.Docs {
		if document.Body != nil {
			d.value(document.Body, reflect.ValueOf(out).Elem(), "")
		}
	}
	return d.places, d.faults
}

// guarded turns a panic of the YAML library, which some malformed documents
// cause, into an error.
func guarded(call func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("malformed document: %v", r)
		}
	}()
	return call()
}

func (d *decoder) fault(code bbrcode.Code, place, format string, args ...any) {
	d.faults = append(d.faults, bbrcode.Errorf(code, place, format, args...))
}

func position(node ast.Node) string {
	at := node.GetToken().Position
	return fmt.Sprintf("line %d, column %d:", at.Line, at.Column)
}

// value decodes a node into a value of the document.
func (d *decoder) value(node ast.Node, into reflect.Value, path string) {
	switch {
	case into.Kind() == reflect.Struct && !leaf(into):
		d.fields(node, into, path)
	case into.Kind() == reflect.Map:
		d.entries(node, into, path)
	default:
		decode := func() error { return yaml.NodeToValue(node, into.Addr().Interface()) }
		if err := guarded(decode); err != nil {
			d.fault(bbrcode.SettingsInvalid, position(node)+" "+path, "%q is not a %s", node.String(), kindName(into))
		}
	}
}

// leaf reports whether a struct is written as one scalar.
func leaf(into reflect.Value) bool {
	_, ok := into.Addr().Interface().(interface{ UnmarshalText([]byte) error })
	return ok
}

func kindName(into reflect.Value) string {
	if into.Type().PkgPath() != "" {
		return into.Type().String()
	}
	return into.Kind().String()
}

// mapping returns the keys and values of a node, or nil after a fault.
func (d *decoder) mapping(node ast.Node, path string) []*ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	case *ast.NullNode:
		return nil
	default:
		d.fault(bbrcode.SettingsInvalid, position(node)+" "+path, "must be a mapping of fields")
		return nil
	}
}

// visit calls each for every field that is not doubled.
func (d *decoder) visit(node ast.Node, path string, each func(key, child string, value *ast.MappingValueNode)) {
	seen := make(map[string]bool)
	for _, value := range d.mapping(node, path) {
		key := value.Key.GetToken().Value
		child := strings.TrimPrefix(path+"."+key, ".")
		if seen[key] {
			d.fault(bbrcode.SettingsUnknown, position(value.Key)+" "+child, "the field is given twice")
			continue
		}
		seen[key] = true
		d.places[child] = position(value.Key)
		each(key, child, value)
	}
}

func (d *decoder) fields(node ast.Node, into reflect.Value, path string) {
	byName := make(map[string]reflect.Value)
	var names []string
	for i := range into.NumField() {
		name, _, _ := strings.Cut(into.Type().Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			byName[name] = into.Field(i)
			names = append(names, name)
		}
	}
	d.visit(node, path, func(key, child string, value *ast.MappingValueNode) {
		field, ok := byName[key]
		if !ok {
			d.fault(bbrcode.SettingsUnknown, position(value.Key)+" "+child, "unknown field; allowed are %s", strings.Join(names, ", "))
			return
		}
		d.value(value.Value, field, child)
	})
}

func (d *decoder) entries(node ast.Node, into reflect.Value, path string) {
	into.Set(reflect.MakeMap(into.Type()))
	d.visit(node, path, func(key, child string, value *ast.MappingValueNode) {
		element := reflect.New(into.Type().Elem()).Elem()
		d.value(value.Value, element, child)
		into.SetMapIndex(reflect.ValueOf(key), element)
	})
}
