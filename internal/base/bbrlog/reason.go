package bbrlog

// Reason returns the text of an error for a log line, and nothing for none.
func Reason(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
