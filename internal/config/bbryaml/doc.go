// Package bbryaml decodes YAML into structs strictly. It reports all errors at
// once, each with line, column and field: unknown and duplicate fields and values
// of the wrong type. It also returns the position of each field, so that later
// checks can report it too. A YAML library does the parsing.
package bbryaml
