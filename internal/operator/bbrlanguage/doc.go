// Package bbrlanguage is the operators' query and command language. A line is
// one command; the parser library reads it, and errors name the column and
// what was expected.
package bbrlanguage
