// Package bbryaml decodes YAML into structs strictly and reports every fault
// at once, each with line, column and field: unknown and doubled fields and
// values of the wrong type. It also tells where each field stands, so that
// later checks can name the place too. Parsing is the YAML library's.
package bbryaml
