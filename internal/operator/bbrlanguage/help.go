package bbrlanguage

// Help describes the language with examples.
const Help = `show KIND [where FIELD = VALUE [and ...]]
    KIND: instances, entries, pools, queues, services, teams, waves, permits, jobs
    show instances where pool = press and state != serving
why instance NAME        what holds an instance, since when
why queue NAME           what a queue waits for
why job ID               how far a job is and what its work units wait for
drain NAME [for REASON]  take an instance out of service
    drain i-12 for "fan noise"
resume NAME              return a drained instance to service
reboot NAME              drain and reboot an instance
move NAME to POOL        drain, reboot and bring an instance to another pool
set budget SERVICE N     instances of a service that may be out at once
set quota TEAM N         requests of a team that an entry handles at once
set bound QUEUE N        requests that may wait in a queue at an entry
set timeout QUEUE TIME   deadline of requests that name none, such as 30s
assign QUEUE to POOL     let another pool serve a queue
start wave NAME [on pool POOL]
halt wave NAME
resume wave NAME         go on, passing over the failures so far
declare gone ENTRY       state that an entry that does not answer is gone`
