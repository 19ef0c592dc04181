"""The last gate before a target: runs calls and answers for what it ran."""

import msgspec
from twisted.internet import defer
from twisted.web import resource, server

from chicorystack.agent.target_client import (
    StreamReader,
    TargetClient,
    TargetFailedError,
)
from chicorystack.calls.messages import (
    ANSWER_HEADER,
    CALL_HEADER,
    END_EVENT_PREFIX,
    EVENT_END,
    EVENT_STREAM,
    JSON_CONTENT,
    AnswerHeader,
    CallHeader,
    Empty,
    EndRecord,
    EngineLoad,
    EngineRequest,
    GenerateBody,
    LoadReport,
)
from chicorystack.calls.run_table import KeptAnswer, RunTable
from chicorystack.config.model import Service
from chicorystack.config.store import ConfigStore
from chicorystack.errors import ApiError
from chicorystack.observe.logs import part_logger
from chicorystack.web.server import (
    Authorizer,
    header,
    read_body,
    run_handler,
)

log = part_logger("gate")
call_decoder = msgspec.json.Decoder(CallHeader)
encoder = msgspec.json.Encoder()


class Gate(resource.Resource):
    """Takes calls from routers, at `/run`.

    Attributes:
        in_flight: Calls given to the target and not finished.
        draining: Whether new calls are refused.
    """

    isLeaf = True

    def __init__(
        self,
        target_name: str,
        service_name: str,
        site: str,
        store: ConfigStore,
        target: TargetClient,
        runs: RunTable,
        authorize: Authorizer,
    ):
        super().__init__()
        self._target_name = target_name
        self._service_name = service_name
        self._site = site
        self._store = store
        self._target = target
        self._runs = runs
        self._authorize = authorize
        self._reported = EngineLoad(running=0, queued=0)
        self.in_flight = 0
        self.draining = False

    def render_POST(self, request: server.Request) -> int:
        """Handles one call."""
        return run_handler(request, self._handle(request))

    async def load(self, _message: Empty) -> LoadReport:
        """Returns how busy the target is."""
        return LoadReport(
            target=self._target_name,
            ready=not self.draining and self._service() is not None,
            in_flight=self.in_flight,
            running=self._reported["running"],
            queued=self._reported["queued"],
        )

    def note_target_load(self, load: EngineLoad) -> None:
        """Takes the target's own report of its load."""
        self._reported = load

    def _service(self) -> Service | None:
        return self._store.config.service(self._site, self._service_name)

    async def _handle(self, request: server.Request) -> None:
        self._authorize(request)
        call = call_decoder.decode(header(request, CALL_HEADER) or "{}")
        service = self._service()
        if service is None:
            raise ApiError("not_ready", "the agent has no configuration yet")
        if service.kind == "engine":
            await self._generate(request, call)
        elif call["repeatable"]:
            answer = await self._call_service(request, call)
            self._send_answer(request, call, answer)
        else:
            await self._run_once(request, call)

    async def _generate(
        self, request: server.Request, call: CallHeader
    ) -> None:
        self._refuse_if_draining()
        body = read_body(request, GenerateBody)
        engine_request = EngineRequest(
            prompt=body["prompt"],
            max_tokens=call["max_tokens"],
            priority=call["priority"],
        )

        def start(reader: StreamReader) -> None:
            self._set_answer_header(request, call, None, call["use"])
            request.setHeader(b"content-type", EVENT_STREAM.encode())
            gone = request.notifyFinish()
            gone.addErrback(lambda _: reader.transport.abortConnection())

        self.in_flight += 1
        try:
            usage = await self._target.generate(
                engine_request, start, request.write
            )
        except TargetFailedError as error:
            self._break_off(request, error)
            return
        finally:
            self.in_flight -= 1
        tokens = usage["prompt_tokens"] + usage["completion_tokens"]
        end = EndRecord(outcome="done", tokens=tokens + call["cost_tokens"])
        request.write(END_EVENT_PREFIX + encoder.encode(end) + EVENT_END)
        request.finish()

    def _break_off(
        self, request: server.Request, error: TargetFailedError
    ) -> None:
        """Ends an answer so that it can't be taken for a whole one."""
        if request.startedWriting:
            log.warning("answer broken off: {}", error)
            request.transport.abortConnection()
            return
        raise ApiError("target_failed", str(error)) from error

    async def _call_service(
        self, request: server.Request, call: CallHeader
    ) -> KeptAnswer:
        request.content.seek(0)
        self.in_flight += 1
        try:
            status, body = await self._target.call(
                call["operation"], request.content.read(), call["key"]
            )
        except TargetFailedError as error:
            raise ApiError("target_failed", str(error)) from error
        finally:
            self.in_flight -= 1
        return KeptAnswer(status, body, call["cost_tokens"], call["use"])

    async def _run_once(
        self, request: server.Request, call: CallHeader
    ) -> None:
        if self._runs.begin(call):
            # Detached: the run goes on when the router or its caller goes.
            defer.ensureDeferred(self._execute_once(request, call))
        answer = await self._runs.answer(call)
        self._send_answer(request, call, answer)

    async def _execute_once(
        self, request: server.Request, call: CallHeader
    ) -> None:
        try:
            answer = await self._call_service(request, call)
        except ApiError as error:
            log.warning("outcome of key {} is unknown: {}", call["key"], error)
            unknown = ApiError("outcome_unknown", str(error), "unknown")
            self._runs.finish(call, unknown)
            return
        self._runs.finish(call, answer)

    def _refuse_if_draining(self) -> None:
        if self.draining:
            raise ApiError("draining", "the target is leaving")

    def _set_answer_header(
        self,
        request: server.Request,
        call: CallHeader,
        tokens: int | None,
        use: str,
    ) -> None:
        answer = AnswerHeader(
            key=call["key"], use=use, in_flight=self.in_flight
        )
        if tokens is not None:
            answer["tokens"] = tokens
        request.setHeader(ANSWER_HEADER, encoder.encode(answer).decode())

    def _send_answer(
        self, request: server.Request, call: CallHeader, answer: KeptAnswer
    ) -> None:
        if request._disconnected:
            return
        self._set_answer_header(request, call, answer.tokens, answer.use)
        request.setResponseCode(answer.status)
        request.setHeader(b"content-type", JSON_CONTENT.encode())
        request.setHeader(b"content-length", str(len(answer.body)).encode())
        request.write(answer.body)
        request.finish()
