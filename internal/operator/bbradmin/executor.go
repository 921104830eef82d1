package bbradmin

import (
	"context"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrintake"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrlanguage"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Executor executes operator commands.
type Executor struct {
	Store     *bbrkv.Store
	Directory *bbrclaim.Directory
	Fleet     *bbrmachine.Fleet
	Metrics   *bbrmetric.Set
	// Config returns the configuration in force, or nil.
	Config func() *bbrwork.Config
	// Explain queries the owner of a shard for the state of a job; known is false if
	// the owner does not know the job or does not answer.
	Explain func(ctx context.Context, shard bbrwork.Shard, job string, now time.Time) (explanation bbrscheduler.Explanation, known bool)
	// Preview returns what would become of a job if it were submitted to this entry.
	Preview func(ctx context.Context, in bbrintake.PreviewRequest, now time.Time) (*bbrintake.Preview, error)
	// Place queries the owner of the job's shard where the job would start. The error says
	// why there is no answer.
	Place func(ctx context.Context, job *bbrwork.Job, now time.Time) (bbrscheduler.Placement, error)
	// WavePrefix is the key prefix of the waves that operators request, and
	// DecodeWave decodes one.
	WavePrefix string
	DecodeWave func(value []byte) (bbrmachine.Wave, error)
}

// Execute executes a command line.
func (x *Executor) Execute(ctx context.Context, request bbrapi.Request) bbrapi.Result {
	result, err := x.execute(ctx, request, time.Now())
	if err != nil {
		result = bbrapi.ErrorResult(err)
		x.Metrics.Refusal(result.Code)
	}
	result.Operation = request.Operation
	return result
}

func (x *Executor) execute(ctx context.Context, request bbrapi.Request, now time.Time) (bbrapi.Result, error) {
	command, err := bbrlanguage.Parse(request.Line)
	switch {
	case err != nil:
		return bbrapi.Result{}, err
	case command.Help:
		return bbrapi.Done(bbrlanguage.Help), nil
	case command.Show != nil:
		return x.show(ctx, command.Show, now)
	case command.Why != nil:
		return x.why(ctx, command.Why, now)
	case command.Explain != nil:
		return x.explain(ctx, command.Explain, request.Body, now)
	case command.Drain != nil:
		return x.drain(ctx, command.Drain, request.DryRun, now)
	case command.Move != nil:
		return x.move(ctx, command.Move, request.DryRun, now)
	case command.Resume != nil && command.Resume.Instance != "":
		return x.resume(ctx, command.Resume.Instance, request.DryRun)
	default:
		return bbrapi.Result{}, wrongState("configuration and waves are changed in the platform's store; an entry only shows and explains them, and drains, moves and resumes instances")
	}
}

// wrongState returns the error of a command that cannot be executed here or now.
func wrongState(text string) error { return bbrcode.Errorf(bbrcode.WrongState, "command", "%s", text) }

// table is the output of a command.
type table struct {
	columns []string
	rows    [][]string
}

func (t *table) add(row ...string) { t.rows = append(t.rows, row) }

func (t *table) result() bbrapi.Result {
	result := bbrapi.Done("")
	result.Columns, result.Rows = t.columns, t.rows
	return result
}

func (x *Executor) show(ctx context.Context, c *bbrlanguage.Show, now time.Time) (bbrapi.Result, error) {
	t, err := x.list(ctx, c.Kind, now)
	if err != nil {
		return bbrapi.Result{}, err
	}
	t.rows, err = c.Select(t.columns, t.rows)
	return t.result(), err
}
