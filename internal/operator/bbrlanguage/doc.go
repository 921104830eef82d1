// Package bbrlanguage implements the query and command language of operators. Each
// line is one command. Syntax errors give the column and what was expected there.
package bbrlanguage
