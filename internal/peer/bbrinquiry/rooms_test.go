package bbrinquiry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrowner"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// newExchange returns an exchange for a directory of the rooms of two cells, with a clock
// that stands still, so that the test may take long.
func newExchange(directory *bbrcell.RoomDirectory, now time.Time) *RoomExchange {
	return &RoomExchange{
		Known: func(service string, _ time.Time) []bbrcell.Room { return directory.Known(service, now) },
		Learn: func(service string, rooms []bbrcell.Room, _ time.Time) { directory.Learn(service, rooms, 2, now) },
	}
}

// TestHintsExchangeRooms checks that both entries learn what the other knows of the job's
// service, and that an entry without the exchange, such as one with an earlier build, takes
// hints as before.
func TestHintsExchangeRooms(t *testing.T) {
	tests := []struct {
		name                 string
		withServer, withSend bool
	}{
		{name: "both", withServer: true, withSend: true},
		{name: "the owner's entry only", withServer: true},
		{name: "the sender only", withSend: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, address := listen(t)
			var owner, sender bbrcell.RoomDirectory
			now := time.Now()
			owner.Learn("press", []bbrcell.Room{{Cell: 1, MilliCPU: 4000, Drain: 1500 * time.Millisecond}}, 2, now)
			owner.Learn("bindery", []bbrcell.Room{{Cell: 1}}, 2, now)
			sender.Learn("press", []bbrcell.Room{{Cell: 0, MilliCPU: 8000}}, 2, now)
			server := &Server{AcceptHint: func(bbrowner.Hint) HintResponse { return HintResponse{Accepted: true} }}
			client := NewClient()
			defer client.Close()
			if test.withServer {
				server.Rooms = newExchange(&owner, now)
			}
			if test.withSend {
				client.Rooms = newExchange(&sender, now)
			}
			go func() { _ = server.Run(t.Context(), listener) }()
			require.Eventually(t, func() bool {
				response, answered := client.Hint(t.Context(), address, bbrowner.Hint{Job: &bbrwork.Job{Service: "press"}, Stored: 8}, time.Now())
				return answered && response.Accepted
			}, 10*time.Second, time.Millisecond)
			both := 1
			if test.withServer && test.withSend {
				both = 2
			}
			require.Len(t, owner.Known("press", now), both)
			require.Len(t, sender.Known("press", now), both)
			require.Empty(t, sender.Known("bindery", now))
			if both == 2 {
				learned := sender.Known("press", now)[1]
				require.Equal(t, 4000, learned.MilliCPU)
				require.Equal(t, 1500*time.Millisecond, learned.Drain)
			}
		})
	}
}

// TestEarlierBuildsReadHints guards against a format of hints that earlier builds cannot
// decode, and against a format of answers that cannot be decoded without rooms.
func TestEarlierBuildsReadHints(t *testing.T) {
	hint := bbrowner.Hint{Job: &bbrwork.Job{ID: "a"}, Stored: 8, Token: 7}
	data, err := json.Marshal(&HintRequest{Hint: hint, Rooms: []roomMessage{{1, 2, 3, 4}}})
	require.NoError(t, err)
	var earlier bbrowner.Hint
	require.NoError(t, json.Unmarshal(data, &earlier))
	require.Equal(t, hint, earlier)
	data, err = json.Marshal(hint)
	require.NoError(t, err)
	var request HintRequest
	require.NoError(t, json.Unmarshal(data, &request))
	require.Equal(t, HintRequest{Hint: hint}, request)
	var answer HintResponse
	require.NoError(t, json.Unmarshal([]byte(`{"taken":true}`), &answer))
	require.Equal(t, HintResponse{Accepted: true}, answer)
}
