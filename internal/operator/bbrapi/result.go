package bbrapi

import "github.com/bluebellridge/bluebellridge/internal/base/bbrcode"

// Request is the HTTP body of a command.
type Request struct {
	Line string `json:"line"`
	// Operation is an idempotency key. If it is empty, the entry generates one.
	Operation string `json:"operation,omitempty"`
	DryRun    bool   `json:"dryRun,omitempty"`
	// Body is the content of the file that the command names.
	Body []byte `json:"body,omitempty"`
}

// Result is the answer to a command.
type Result struct {
	Code      bbrcode.Code `json:"code"`
	Name      string       `json:"name"`
	Place     string       `json:"place,omitempty"`
	Text      string       `json:"text,omitempty"`
	Operation string       `json:"operation,omitempty"`
	// Revision is the configuration revision that the command created.
	Revision uint64     `json:"revision,omitempty"`
	Columns  []string   `json:"columns,omitempty"`
	Rows     [][]string `json:"rows,omitempty"`
}

// Done returns the result of a command that succeeded.
func Done(text string) Result {
	return Result{Code: bbrcode.Done, Name: bbrcode.Done.String(), Text: text}
}

// ErrorResult returns the result that reports err.
func ErrorResult(err error) Result {
	code := bbrcode.From(err, storeErrorCode(err))
	result := Result{Code: code, Name: code.String(), Text: err.Error()}
	if coded := codedError(err); coded != nil {
		result.Place = coded.Place
		result.Text = coded.Detail
	}
	if result.Text == "" {
		result.Text = code.Info().Text
	}
	return result
}
