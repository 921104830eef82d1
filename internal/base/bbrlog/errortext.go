package bbrlog

// ErrorText returns the text of an error for a log line, and nothing for none.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
