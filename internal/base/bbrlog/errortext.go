package bbrlog

// ErrorText returns the text of an error for a log line, or an empty string if err is
// nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
