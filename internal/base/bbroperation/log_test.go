package bbroperation

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRecordDropsOldest(t *testing.T) {
	var log Log
	log.Record("")
	require.Empty(t, log)
	for i := range maxOperations + 1 {
		log.Record(fmt.Sprint(i))
	}
	require.Len(t, log, maxOperations)
	require.False(t, log.Has("0"))
	require.True(t, log.Has("1"))
	require.True(t, log.Has(fmt.Sprint(maxOperations)))
}
