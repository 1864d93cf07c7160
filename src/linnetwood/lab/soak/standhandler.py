"""The base of the HTTP handlers of stand-in servers."""

import asyncio

from tornado.web import Finish, RequestHandler

from linnetwood.lab.soak.endless import Order
from linnetwood.lab.soak.standanswers import close_connection, hand_over_call
from linnetwood.lab.soak.standservers import (
    Endlessness,
    Server,
    Servers,
    Silence,
)

# How often a held request checks whether its server is still silent.
HOLD_CHECK_S = 0.02


class StandInHandler(RequestHandler):
    """Handle requests to a stand-in."""

    def data_received(self, chunk: bytes) -> None:
        """Accept no streamed bodies."""


class ServerHandler(StandInHandler):
    """Handle requests to one server, none after it crashed."""

    # Such a silence holds requests of this kind back before they are handled.
    held_by = Silence.EVERYTHING

    def initialize(self, servers: Servers, server: Server) -> None:
        """Use the state of the server and of all of them."""
        self.servers = servers
        self.server = server

    def answers_without_end(self, call_id: str) -> bool:
        """Hand the connection over if this answer is to have no end."""
        name = self.server.name
        endless = self.servers.endless.get(name, Endlessness())
        if not endless.includes(call_id):
            return False
        order = Order(call_id, name, endless.framing)
        hand_over_call(self, self.servers.endless_path, order)
        return True

    async def prepare(self) -> None:
        """Hold requests to a silent server; close those to one that crashed."""
        is_held = self.server.is_silent(self.held_by)
        while self.server.is_silent(self.held_by):
            await asyncio.sleep(HOLD_CHECK_S)
        if not self.server.alive:
            close_connection(self)
            if is_held:
                raise Finish
