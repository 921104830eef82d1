package bbroperation

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLogForgetsTheOldest(t *testing.T) {
	var log Log
	log.Record("")
	require.Empty(t, log)
	for i := range maxRemembered + 1 {
		log.Record(fmt.Sprint(i))
	}
	require.Len(t, log, maxRemembered)
	require.False(t, log.Has("0"))
	require.True(t, log.Has("1"))
	require.True(t, log.Has(fmt.Sprint(maxRemembered)))
}
