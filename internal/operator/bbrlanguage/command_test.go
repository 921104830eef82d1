package bbrlanguage

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	command, err := Parse(`show instances where pool = press and state != "serving"`)
	require.NoError(t, err)
	require.Equal(t, &Show{Kind: "instances", Filters: []Filter{
		{Field: "pool", Operator: "=", Value: "press"},
		{Field: "state", Operator: "!=", Value: "serving"},
	}}, command.Show)
	command, err = Parse(`move i-12 to portal for "fan noise"`)
	require.NoError(t, err)
	require.Equal(t, &Move{Instance: "i-12", Pool: "portal", Reason: "fan noise"}, command.Move)
	command, err = Parse("resume wave w1")
	require.NoError(t, err)
	require.Equal(t, "w1", command.Resume.Wave)
}

func TestParseExplain(t *testing.T) {
	for line, expected := range map[string]*Explain{
		"explain q-press":                         {Queue: "q-press"},
		"explain print.example:80/press/00a1":     {Queue: "print.example:80/press/00a1"},
		`explain "q press" file "my job.json"`:    {Queue: "q press", File: "my job.json"},
		"explain q-press job 00a1 file /tmp/j.js": {Queue: "q-press", Job: "00a1", File: "/tmp/j.js"},
		"explain q organisation o file ../j.json": {Queue: "q", Organisation: "o", File: "../j.json"},
	} {
		command, err := Parse(line)
		require.NoError(t, err, line)
		require.Equal(t, expected, command.Explain, line)
	}
	_, err := Parse("explain")
	require.Error(t, err)
}

func TestParseErrorsIncludeColumn(t *testing.T) {
	for line, expected := range map[string]string{
		"":                     "4001 syntax at column 1: expected a command",
		"move i-1 portal":      "4001 syntax at column 10: unexpected token \"portal\" (expected \"to\"",
		"drain":                "4001 syntax at column 6: unexpected token",
		"show instances where": "4001 syntax at column 21: unexpected token",
		"drain i-1 #":          "4001 syntax at column 11: ",
	} {
		_, err := Parse(line)
		require.ErrorContains(t, err, expected, line)
	}
}

func FuzzParse(f *testing.F) {
	for _, line := range []string{"show instances where pool = press", `drain i-1 for "x"`, "set timeout proofs 30s", "\x00", `"`} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		command, err := Parse(line)
		require.True(t, (command == nil) != (err == nil))
	})
}
