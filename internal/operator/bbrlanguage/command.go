package bbrlanguage

import (
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// Command is one parsed line. Exactly one field is set.
type Command struct {
	Show    *Show    `parser:"  'show' @@"`
	Why     *Why     `parser:"| 'why' @@"`
	Explain *Explain `parser:"| 'explain' @@"`
	Drain   *Target  `parser:"| 'drain' @@"`
	Reboot  *Target  `parser:"| 'reboot' @@"`
	Move    *Move    `parser:"| 'move' @@"`
	Set     *Set     `parser:"| 'set' @@"`
	Assign  *Assign  `parser:"| 'assign' @@"`
	Start   *Start   `parser:"| 'start' 'wave' @@"`
	Halt    *Name    `parser:"| 'halt' 'wave' @@"`
	Resume  *Resume  `parser:"| 'resume' @@"`
	Declare *Declare `parser:"| 'declare' @@"`
	Help    bool     `parser:"| @'help'"`
}

// Show lists the items of one kind.
type Show struct {
	Kind    string   `parser:"@('instances'|'entries'|'pools'|'queues'|'services'|'teams'|'organisations'|'waves'|'permits'|'jobs'|'interference')"`
	Filters []Filter `parser:"('where' @@ ('and' @@)*)?"`
}

// Filter selects rows by the value of a field.
type Filter struct {
	Field    string `parser:"@Word"`
	Operator string `parser:"@('=' | '!=')"`
	Value    string `parser:"@(Word|String)"`
}

// Matches reports whether a row with this value of the field is selected.
func (f Filter) Matches(value string) bool {
	return (value == f.Value) == (f.Operator == "=")
}

// Select returns the rows that match all filters, sorted. It returns an error if a
// filter names a field that is not one of the columns.
func (s *Show) Select(columns []string, rows [][]string) ([][]string, error) {
	for _, filter := range s.Filters {
		column := slices.Index(columns, filter.Field)
		if column < 0 {
			return nil, bbrcode.Errorf(bbrcode.Syntax, filter.Field, "%s have no such field; their fields are %s", s.Kind, strings.Join(columns, ", "))
		}
		rows = slices.DeleteFunc(rows, func(row []string) bool { return !filter.Matches(row[column]) })
	}
	slices.SortFunc(rows, slices.Compare)
	return rows, nil
}

// Why asks why an instance, a queue or a job is in its state.
type Why struct {
	Kind string `parser:"@('instance'|'queue'|'job')"`
	Name string `parser:"@Word"`
}

// Explain asks where a job would go now. Queue is the name of a queue, or a host and path.
// File names a file with the job's body, which the client reads and sends.
type Explain struct {
	Queue        string `parser:"@(Word|String)"`
	Job          string `parser:"('job' @Word)?"`
	Organisation string `parser:"('organisation' @(Word|String))?"`
	File         string `parser:"('file' @(Word|String))?"`
}

// Target is the instance of a drain or reboot, with the operator's reason.
type Target struct {
	Instance string `parser:"@Word"`
	Reason   string `parser:"('for' @(Word|String))?"`
}

// Move moves an instance to another pool.
type Move struct {
	Instance string `parser:"@Word 'to'"`
	Pool     string `parser:"@Word"`
	Reason   string `parser:"('for' @(Word|String))?"`
}

// Set changes one value in the configuration.
type Set struct {
	Field string `parser:"@('budget'|'quota'|'bound'|'timeout')"`
	Name  string `parser:"@Word"`
	Value string `parser:"@Word"`
}

// Assign changes the pool that serves a queue.
type Assign struct {
	Queue string `parser:"@Word 'to'"`
	Pool  string `parser:"@Word"`
}

// Start starts a wave over one pool, or over all pools.
type Start struct {
	Name string `parser:"@Word"`
	Pool string `parser:"('on' 'pool' @Word)?"`
}

// Name names a wave to halt.
type Name struct {
	Name string `parser:"@Word"`
}

// Resume returns a drained instance to service or resumes a halted wave.
type Resume struct {
	Wave     string `parser:"  'wave' @Word"`
	Instance string `parser:"| @Word"`
}

// Declare states that an entry has stopped permanently.
type Declare struct {
	Entry string `parser:"'gone' @Word"`
}

var commandLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Word", Pattern: `[A-Za-z0-9_./][A-Za-z0-9_.:/\-]*`},
	{Name: "Operator", Pattern: `!=|=`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Command](
	participle.Lexer(commandLexer),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)

// maxLineBytes bounds a command line in bytes.
const maxLineBytes = 1000

// Parse parses one line. A syntax error gives the column.
func Parse(line string) (*Command, error) {
	if len(line) > maxLineBytes {
		return nil, bbrcode.Errorf(bbrcode.Syntax, fmt.Sprintf("column %d", maxLineBytes), "a command has at most %d characters", maxLineBytes)
	}
	if strings.TrimSpace(line) == "" {
		return nil, bbrcode.Errorf(bbrcode.Syntax, "column 1", "expected a command; help lists the commands")
	}
	command, err := parser.ParseString("", line)
	if err == nil {
		return command, nil
	}
	place := "column 1"
	text := err.Error()
	var positioned participle.Error
	if errors.As(err, &positioned) {
		place = fmt.Sprintf("column %d", positioned.Position().Column)
		text = positioned.Message()
	}
	return nil, bbrcode.Errorf(bbrcode.Syntax, place, "%s", text)
}
