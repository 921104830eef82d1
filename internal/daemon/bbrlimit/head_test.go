package bbrlimit

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestHeadIsCountedInAnyPieces guards against heads that pass because of how they arrive,
// and against bodies whose lines are counted as fields.
func TestHeadIsCountedInAnyPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 10
		lineEnd := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "line end")
		fields := rapid.IntRange(0, 2*most).Draw(t, "fields")
		var text strings.Builder
		text.WriteString(strings.Repeat(lineEnd, rapid.IntRange(0, 2).Draw(t, "empty lines")))
		text.WriteString("POST / HTTP/1.1" + lineEnd)
		for i := range fields {
			fmt.Fprintf(&text, "f%d: x%s", i, lineEnd)
		}
		text.WriteString(lineEnd + strings.Repeat("body\n", 100))
		h := headScanner{max: most}
		passes := true
		for rest := text.String(); rest != "" && passes; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			passes = h.scan([]byte(rest[:n]))
			rest = rest[n:]
		}
		require.Equal(t, fields <= most, passes)
	})
}
