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

// Positions maps the path of a field, such as "listen.callers", to its position
// in the document.
type Positions map[string]string

// Of returns the position of a field, or of its nearest ancestor in the document,
// followed by the path.
func (p Positions) Of(path string) string {
	for parent := path; ; {
		if position, ok := p[parent]; ok {
			return position + " " + path
		}
		dot := strings.LastIndexByte(parent, '.')
		if dot < 0 {
			return path
		}
		parent = parent[:dot]
	}
}

// decoder collects positions and errors.
type decoder struct {
	positions Positions
	errs      []*bbrcode.Error
}

// Decode decodes data into out, a pointer to a struct with yaml tags. It returns
// the positions of the fields and all errors.
func Decode(data []byte, out any) (Positions, []*bbrcode.Error) {
	d := &decoder{positions: make(Positions)}
	var file *ast.File
	err := recoverPanic(func() (err error) {
		file, err = parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
		return err
	})
	if err != nil {
		d.report(bbrcode.SettingsSyntax, "", "%s", strings.TrimSpace(yaml.FormatError(err, false, false)))
		return d.positions, d.errs
	}
	for _, document := range file.Docs {
		if document.Body != nil {
			d.decodeValue(document.Body, reflect.ValueOf(out).Elem(), "")
		}
	}
	return d.positions, d.errs
}

// recoverPanic calls the function and converts a panic into an error: the YAML
// library panics on some malformed documents.
func recoverPanic(call func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("malformed document: %v", r)
		}
	}()
	return call()
}

func (d *decoder) report(code bbrcode.Code, position, format string, args ...any) {
	d.errs = append(d.errs, bbrcode.Errorf(code, position, format, args...))
}

func positionOf(node ast.Node) string {
	position := node.GetToken().Position
	return fmt.Sprintf("line %d, column %d:", position.Line, position.Column)
}

// decodeValue decodes a node at the path into a field or map element.
func (d *decoder) decodeValue(node ast.Node, into reflect.Value, path string) {
	switch {
	case into.Kind() == reflect.Struct && !isScalar(into):
		d.decodeStruct(node, into, path)
	case into.Kind() == reflect.Map:
		d.decodeMap(node, into, path)
	default:
		decode := func() error { return yaml.NodeToValue(node, into.Addr().Interface()) }
		if err := recoverPanic(decode); err != nil {
			d.report(bbrcode.SettingsInvalid, positionOf(node)+" "+path, "%q is not a %s", node.String(), kindName(into))
		}
	}
}

// isScalar reports whether the type of a struct is written as a scalar.
func isScalar(into reflect.Value) bool {
	_, ok := into.Addr().Interface().(interface{ UnmarshalText([]byte) error })
	return ok
}

func kindName(into reflect.Value) string {
	if into.Type().PkgPath() != "" {
		return into.Type().String()
	}
	return into.Kind().String()
}

// mappingValues returns the keys and values of a node. If the node is not a
// mapping, it reports an error and returns nil.
func (d *decoder) mappingValues(node ast.Node, path string) []*ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	case *ast.NullNode:
		return nil
	default:
		d.report(bbrcode.SettingsInvalid, positionOf(node)+" "+path, "must be a mapping of fields")
		return nil
	}
}

// visitFields calls the function for every field. It reports an error for each
// duplicate instead.
func (d *decoder) visitFields(node ast.Node, path string, call func(key, child string, value *ast.MappingValueNode)) {
	seen := make(map[string]bool)
	for _, value := range d.mappingValues(node, path) {
		key := value.Key.GetToken().Value
		child := strings.TrimPrefix(path+"."+key, ".")
		if seen[key] {
			d.report(bbrcode.SettingsUnknown, positionOf(value.Key)+" "+child, "the field is given twice")
			continue
		}
		seen[key] = true
		d.positions[child] = positionOf(value.Key)
		call(key, child, value)
	}
}

func (d *decoder) decodeStruct(node ast.Node, into reflect.Value, path string) {
	byName := make(map[string]reflect.Value)
	var names []string
	for i := range into.NumField() {
		name, _, _ := strings.Cut(into.Type().Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			byName[name] = into.Field(i)
			names = append(names, name)
		}
	}
	d.visitFields(node, path, func(key, child string, value *ast.MappingValueNode) {
		field, ok := byName[key]
		if !ok {
			d.report(bbrcode.SettingsUnknown, positionOf(value.Key)+" "+child, "unknown field; allowed are %s", strings.Join(names, ", "))
			return
		}
		d.decodeValue(value.Value, field, child)
	})
}

func (d *decoder) decodeMap(node ast.Node, into reflect.Value, path string) {
	into.Set(reflect.MakeMap(into.Type()))
	d.visitFields(node, path, func(key, child string, value *ast.MappingValueNode) {
		element := reflect.New(into.Type().Elem()).Elem()
		d.decodeValue(value.Value, element, child)
		into.SetMapIndex(reflect.ValueOf(key), element)
	})
}
